#pragma once

#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagehold {

/// Attempts per second at the servers of one failure domain.
struct DomainAttempts
{
  double attempts = 0;
  /// Those that failed, timed out or took far longer than usual.
  double failed = 0;

  bool operator==(const DomainAttempts&) const = default;
};

/// What the entry hosts of one failure domain know of one service, summed over the hosts.
struct DomainServiceLoad
{
  /// Number of hosts that report the service.
  double hosts = 0;
  /// Slots of all servers of the domain.
  double listed = 0;
  /// Slots of those that must not be called or are cold, limited or ejected.
  double unusable = 0;
  /// Slots of the others whose load reports are fresh, as far as hosts use them without making
  /// requests wait.
  double usable = 0;
  /// Requests running and waiting at these.
  double busy = 0;
  /// Mean number of requests of the domain's callers in progress or waiting, wherever they run.
  double demand = 0;
  /// Requests per second of the domain's callers.
  double requests = 0;
  /// Bytes per second of their bodies, in both directions.
  double bytes = 0;
  /// By failure domain of the server.
  std::map<std::string, DomainAttempts> attempts;
  /// Time since the oldest of the reports.
  std::chrono::milliseconds age{ 0 };

  bool operator==(const DomainServiceLoad&) const = default;
};

/// Adds the load that other hosts know.
void add_load(DomainServiceLoad& sum, const DomainServiceLoad& load);

/// The shares of the requests of one service that leave their failure domain.
struct ServiceShares
{
  ServiceName service;
  /// The failure domains that the decision covers.
  std::vector<std::string> domains;
  /// Sender -> receiver -> share, above 0. The rest of a sender's requests stays.
  std::map<std::string, std::map<std::string, double>> leaving;
  /// Sender -> receivers that have free capacity and don't send themselves. A request that finds no
  /// room at home may go there before a share is decided.
  std::map<std::string, std::set<std::string>> spare;

  bool operator==(const ServiceShares&) const = default;
};

/// Why a failure domain sends its requests where it does.
enum class OverflowReason
{
  Home,       ///< its own servers are sufficient
  Overloaded, ///< its servers have too little capacity
  Emptied,    ///< none of its servers can be called
  Full,       ///< too little capacity, and no other domain has any to spare
  Costly,     ///< too little capacity, but the move costs more than it gains
  Unknown,    ///< its load is not known
};

/// \return the reason as it appears in logs and metrics
const char* to_string(OverflowReason reason);

struct DomainOverflowOptions
{
  /// Share of the usable slots in use above which requests begin to wait, and how much longer they
  /// take at most before all slots are in use. As ServerSelectorOptions::knee and knee_slowdown.
  double full_use = 0.8;
  double full_slowdown = 1.7;
  /// Cost of a request, relative to the time of one on an idle server, that is added for each
  /// unit by which the demand exceeds the slots. High, because such requests are refused.
  double queue_cost = 10;
  /// A domain receives requests up to this share of its slots. The distance to full_use keeps a
  /// receiver from becoming a sender when its load varies.
  double receive_use = 0.7;
  /// One-way delay between two failure domains.
  std::chrono::microseconds delay{ 900 };
  /// Cost of a byte between failure domains, relative to the time of a request on an idle server,
  /// and the upper limit per request. As ServerSelectorOptions::remote_cost_per_byte.
  double cost_per_byte = 8e-6;
  double max_byte_cost = 1;
  /// Change of a domain's shares per second. 0.3 moves three quarters of a domain's requests within
  /// 2.5 s; the reports take up to 2 s, and an overload has to end within 5 s.
  double step_per_second = 0.3;
  /// Smaller changes of a share are not made.
  double min_change = 0.02;
  /// Time constant of the averages of the reports.
  std::chrono::milliseconds smoothing{ 700 };
  /// Time constant of the average time of a request at servers with room.
  std::chrono::milliseconds time_smoothing{ 5000 };
  /// Time after which the reports reflect a change of the shares: they are averaged, and take up to
  /// 2 s with the way of the shares to the hosts.
  std::chrono::milliseconds settling{ 3000 };
  /// Reports older than this are not used.
  std::chrono::milliseconds max_age{ 3000 };
  /// Attempts per second below which the failures between two domains are not judged.
  double min_attempts = 2;
  /// Share of failed attempts at another domain, above that at the own one, at which nothing is
  /// sent there for lossy_pause.
  double lossy_excess = 0.2;
  std::chrono::milliseconds lossy_pause{ 5000 };
  /// Share of its listed slots that must be unusable for a domain to count as emptied. Hosts learn
  /// of a failed server at different times, so not all of them report it.
  double emptied_share = 0.9;
};

/// Decides which share of a service's requests leaves each failure domain, from the load of all of
/// them. The shares follow the load in small steps. A domain that receives requests of a service
/// sends none of it. Time is an argument. Not thread-safe.
class DomainOverflow
{
public:
  using Loads = std::map<std::string, DomainServiceLoad>;

  explicit DomainOverflow(DomainOverflowOptions options = {})
    : m_options(options)
  {
  }

  /// To be called at regular intervals of at most a second.
  /// \param loads by failure domain; a domain that has ceased to report has its last load with its
  /// age
  /// \return the shares in force from now on; no domains if there is nothing to decide, because no
  /// domain's load is known or there is only one domain
  ServiceShares decide(const ServiceName& service, const Loads& loads, TimePoint now);

  /// Continues from the shares that another leader decided last.
  void adopt(const ServiceShares& shares) { m_services[shares.service].leaving = shares.leaving; }

  /// \return the reason for the last decision, by failure domain
  std::map<std::string, OverflowReason> reasons(const ServiceName& service) const;

  /// Forgets services that have not been decided for a minute.
  void expire(TimePoint now);

private:
  using Shares = std::map<std::string, double>;

  struct Domain
  {
    double capacity = 0;
    double busy = 0;
    /// Of the domain's callers, as reported.
    double in_progress = 0;
    double requests = 0;
    double bytes = 0;
    /// Requests of the domain's callers that would be in progress if none were slowed.
    double demand = 0;
    /// Requests from other domains in progress, by the shares in force, with the delay of the
    /// reports.
    double received = 0;
    /// Cost of a request to another domain, relative to the time of one on an idle server.
    double move_cost = 0;
    /// When a report last told the load.
    std::optional<TimePoint> known_at;
    bool known = false;
    bool emptied = false;
    bool fresh = false;
    std::map<std::string, DomainAttempts> attempts;
    std::map<std::string, TimePoint> lossy_until;
    /// Its servers report less than it should keep.
    bool has_spare = false;
    /// Share of the demand that has to leave because of what the servers report.
    double relief = 0;
    /// When its shares last changed.
    TimePoint changed_at;
    OverflowReason reason = OverflowReason::Unknown;
  };

  struct Service
  {
    std::map<std::string, Domain> domains;
    std::map<std::string, Shares> leaving;
    /// Mean time of a request at servers with room, in seconds.
    std::optional<double> request_time;
    TimePoint decided_at;
  };

  void update(Domain& domain, const DomainServiceLoad& load, double weight, TimePoint now) const;
  void update_links(const std::string& name, Domain& domain, TimePoint now) const;
  void update_received(Service& service, double weight) const;
  void update_demand(Service& service, double elapsed) const;
  double start_use(const Domain& sender) const;
  double keep_use(const Domain& sender) const;
  static double sent_by(const Service& service, const std::string& name);
  void update_relief(Service& service, TimePoint now) const;
  double need(const Service& service, const std::string& name) const;
  double free_capacity(const Domain& receiver) const;
  std::map<std::string, Shares> targets(Service& service, TimePoint now) const;
  bool may_receive(const Service& service,
                   const std::string& sender,
                   const std::string& receiver,
                   TimePoint now) const;
  std::map<std::string, std::set<std::string>> find_spare(const Service& service,
                                                          TimePoint now) const;
  void approach(Service& service,
                const std::string& sender,
                const Shares& target,
                double step,
                TimePoint now) const;
  static bool receives(const Service& service, const std::string& domain);

  DomainOverflowOptions m_options;
  std::map<ServiceName, Service> m_services;
};

} // namespace lovagehold
