#pragma once

#include "lovagehold/allowance_board.h"
#include "lovagehold/allowance_client.h"
#include "lovagehold/cluster_message.h"
#include "lovagehold/entry_directory.h"
#include "lovagehold/event_log.h"
#include "lovagehold/metrics.h"
#include "lovagehold/replica.h"
#include "lovagehold/site.h"

namespace lovagehold {

/// \return the cluster addresses of the members
std::vector<std::string> member_addresses(const Membership& membership);

/// \return the options for the allowances of an entry host
/// \param peer see AllowanceClientOptions::peer
AllowanceClientOptions allowance_client_options(const SiteSettings& settings,
                                                EventLog& log,
                                                std::function<std::string()> peer);

/// \return the cluster address of a random entry host other than this one, preferably of the same
/// failure domain; empty if none is known
std::string choose_peer(const EntryAddresses& directory, const SiteSettings& settings);

/// \return the options for the allowances of a control host
AllowanceBoardOptions allowance_board_options(const SiteSettings& settings,
                                              std::chrono::milliseconds subscription_timeout);

/// \return what a control host knows that matters for the allowances
AllowanceView make_allowance_view(const Replica& replica,
                                  const EntryDirectory& entry_hosts,
                                  TimePoint now);

/// Adds the metrics of the allowances.
void render_allowance_metrics(MetricsText& text, const AllowanceClient& client, TimePoint now);
void render_allowance_metrics(MetricsText& text, const AllowanceBoard& board);

} // namespace lovagehold
