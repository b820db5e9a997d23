#pragma once

#include "lovagehold/allowance_ledger.h"
#include "lovagehold/command.h"
#include "lovagehold/consensus_message.h"
#include "lovagehold/crash_suspects.h"
#include "lovagehold/domain_overflow.h"
#include "lovagehold/entry_directory.h"
#include "lovagehold/hybrid_clock.h"
#include "lovagehold/request_limiter.h"
#include "lovagehold/subscription_source.h"

#include <map>
#include <optional>
#include <variant>

namespace lovagehold {

/// Asks the leader to append a command to the log. A retry with the same client and id is applied
/// only once.
struct Propose
{
  /// Random id of the proposing process, drawn at each start.
  std::uint64_t client = 0;
  std::uint64_t id = 0;
  /// The client no longer waits for results of smaller ids.
  std::uint64_t lowest_pending = 1;
  Bytes command;
};

/// The result of a proposal.
struct ProposeReply
{
  std::uint64_t id = 0;
  /// Whether the command was applied; otherwise the receiver rejected the proposal.
  bool decided = false;
  /// Set if decided.
  ApplyResult result;
  /// Set if not decided.
  Error error;
  /// Set if not decided and the leader is known.
  std::string leader_address;
};

/// Subscribes to the committed entries from an index on. The subscriber repeats the request,
/// because a subscription expires.
struct Subscribe
{
  std::uint64_t from_index = 1;
  /// Requests a linearizable read: the answer must include all entries committed before the
  /// request.
  bool confirm = false;
  /// Log index of the image that the subscriber is receiving; 0 if none.
  std::uint64_t snapshot_index = 0;
  /// Bytes of that image already received.
  std::uint64_t snapshot_offset = 0;
  /// Set if the subscriber is an entry host.
  std::optional<EntryPresence> presence;
  /// Version of the EntryAddresses that the subscriber has.
  std::uint64_t directory_version = 0;
  /// The answer may name another control host to subscribe to, see Entries::source.
  bool accepts_source = false;
  /// Number of the request, returned in Entries::answers; 0 if it has none.
  std::uint64_t request = 0;
};

/// Payloads of consecutive committed entries, as ReplicatedState::apply() takes them; empty for
/// entries without a command.
struct Entries
{
  std::uint64_t first_index = 1;
  /// With these entries the subscriber has everything that was committed before its request.
  bool confirmed = false;
  std::vector<Bytes> payloads;
  /// All control hosts; empty if the message doesn't carry them.
  std::vector<ControlAddress> control;
  /// Number of entry hosts that callers are directed to; 0 if the message doesn't carry it.
  std::uint64_t entry_hosts = 0;
  /// Control host that the subscriber is to follow instead of the sender; the message then carries
  /// no payloads. Empty: the sender.
  std::string source;
  /// Subscribe::request that these entries complete the answer to; 0 if they complete none.
  std::uint64_t answers = 0;
  /// With these entries the subscriber has everything that was acknowledged this long before they
  /// were sent. Set in answers; nothing if the sender can't tell.
  std::optional<std::chrono::milliseconds> lag;
};

/// Asks a control host how current it is.
struct SourceQuery
{
  /// Number of the query, returned in SourceStatus::answers.
  std::uint64_t request = 0;
};

/// Sent by a control host in contact with the group's leader.
struct SourceStatus
{
  /// SourceQuery::request.
  std::uint64_t answers = 0;
  /// Last entry of the log that the host has applied.
  std::uint64_t applied_index = 0;
  /// As Entries::lag.
  std::chrono::milliseconds lag{ 0 };
};

/// Entry hosts that have reported to a control host, which passes them on to the other control
/// hosts.
struct EntryHosts
{
  struct ReportedHost
  {
    EntryPresence presence;
    /// Time since the report.
    std::chrono::milliseconds age{ 0 };
  };
  std::vector<ReportedHost> hosts;
};

/// Chunk of an image of the replicated state, sent to a subscriber whose next entry has been
/// compacted or that is starting. The last chunk is followed by the entries after the image.
struct SnapshotTransfer
{
  /// Log index of the last entry that the image includes.
  std::uint64_t index = 0;
  /// Position of this chunk in the image, in bytes.
  std::uint64_t offset = 0;
  /// Size of the image in bytes.
  std::uint64_t total = 0;
  Bytes state;
};

/// Asks the control group to add a control host. Sent by a host that is not in the membership it
/// knows, or that no leader contacts.
struct JoinGroup
{
  Member member;
  /// The host's log is empty.
  bool empty = false;
  /// Random number of the sending process, drawn at each start.
  std::uint64_t nonce = 0;
  /// Nonce last received from the first control host in the settings.
  std::uint64_t first_host_nonce = 0;
};

/// Answers a JoinGroup that arrived at a member which does not lead the group.
struct GroupContacts
{
  /// Cluster address of the leader, which adds members.
  std::string leader;
  /// Cluster addresses of all members, to be asked if the leader doesn't answer.
  std::vector<std::string> members;
};

/// Renews a server's registration; forwarded to the host that owns the service.
struct ServerRenewal
{
  ServiceName service;
  ServerId id;
  std::uint64_t incarnation = 0;
};

/// Renewals that a control host has received from servers, for the leader that keeps their leases.
struct ServerRenewals
{
  std::vector<ServerRenewal> renewals;
};

/// Renews a host's session at the control leader.
struct Heartbeat
{
  HostId host;
  std::uint64_t incarnation = 0;
  /// Echoed in the reply; increases with each heartbeat of the host.
  std::uint64_t sequence = 0;
  /// View that the host has applied. The host no longer dispatches for services that it lost by
  /// this view.
  std::uint64_t view = 0;
  /// Highest stable view that the host has received, from which a new leader learns it.
  std::uint64_t stable_view = 0;
};

/// Answers a heartbeat.
struct HeartbeatReply
{
  std::uint64_t sequence = 0;
  /// Lease duration, counted from when the host sent the heartbeat; zero if the lease was not
  /// renewed.
  std::chrono::milliseconds lease{ 0 };
  /// Highest view that every live session has acknowledged. Zero if unknown, and while the host has
  /// not applied the leader's view.
  std::uint64_t stable_view = 0;
  /// Cluster address of the leader, if another process leads.
  std::string leader;
};

/// Addresses of the entry hosts for callers of each failure domain. Entry hosts use them to answer
/// address lookups.
struct EntryAddresses
{
  /// Hash of the content, see version_of().
  std::uint64_t version = 0;
  std::map<std::string, std::vector<std::string>> by_domain;
};

/// An entry host asks a control host for permission to send a request to a limited server.
struct PermitRequest
{
  /// Chosen by the entry host, echoed in the reply.
  std::uint64_t id = 0;
  PermitQuery query;
};

/// Answers a PermitRequest.
struct PermitReply
{
  std::uint64_t id = 0;
  PermitAnswer answer;
};

/// Requests of a limited account.
struct AccountRequests
{
  std::string account;
  AllowanceLimit limit;
  /// Requests that the sender has admitted by itself and not reported yet.
  unsigned used = 0;
  /// Those of them that may have been reported before, to this receiver or another.
  unsigned repeated = 0;
  /// Requests that the sender asks for.
  unsigned wanted = 0;

  bool operator==(const AccountRequests&) const = default;
};

/// An entry host reports requests of limited accounts to a control host that is responsible for
/// them, and asks for further ones.
struct AllowanceQuery
{
  /// Chosen by the entry host, echoed in the reply.
  std::uint64_t id = 0;
  std::vector<AccountRequests> accounts;
};

/// Answers an AllowanceQuery.
struct AllowanceReply
{
  struct Item
  {
    std::string account;
    /// The sender counts the requests of the account. If not, it has ignored them and the answer is
    /// empty.
    bool responsible = false;
    AllowanceAnswer answer;
  };

  std::uint64_t id = 0;
  /// Number of entry hosts that share the allowances.
  std::uint64_t hosts = 0;
  std::vector<Item> accounts;
};

/// Requests that a responsible control host has counted since its last message of this kind; sent
/// to the other control host that is responsible for the accounts. Without accounts, it tells that
/// the sender is reachable.
struct AllowanceUse
{
  std::vector<AccountRequests> accounts;
};

/// All accounts that the sender restricts: as a responsible control host if it is sent to control
/// hosts, and of all control hosts if it is sent to an entry host.
struct RestrictedAccounts
{
  std::vector<std::string> accounts;
};

/// Requests that were running at servers that crashed. Entry hosts send what they see to all
/// control hosts, which pass on to the entry hosts what is suspected or cleared.
struct CrashReports
{
  std::vector<CrashEvidence> evidence;
};

/// Load of the services that an entry host has served requests of in the last second, sent to the
/// control host that it subscribes to. Control hosts send the sums over their entry hosts to the
/// leader.
struct DomainLoad
{
  /// Sent by a control host.
  bool combined = false;
  /// By failure domain of the callers.
  std::map<std::string, std::map<ServiceName, DomainServiceLoad>> loads;
};

/// The shares of the requests that leave their failure domain. The leader sends them to the control
/// hosts, which send each entry host those of its domain and of the services that it reports.
struct DomainShares
{
  /// Election term of the leader that decided.
  std::uint64_t term = 0;
  /// Time since the decision.
  std::chrono::milliseconds age{ 0 };
  std::vector<ServiceShares> services;
};

/// \return hash of the addresses, which identifies this content
std::uint64_t version_of(const EntryAddresses& addresses);

using ClusterMessage = std::variant<Propose,
                                    ProposeReply,
                                    Subscribe,
                                    Entries,
                                    SourceQuery,
                                    SourceStatus,
                                    SnapshotTransfer,
                                    JoinGroup,
                                    ConsensusEnvelope,
                                    ServerRenewal,
                                    Heartbeat,
                                    HeartbeatReply,
                                    EntryHosts,
                                    EntryAddresses,
                                    ServerRenewals,
                                    PermitRequest,
                                    PermitReply,
                                    CrashReports,
                                    GroupContacts,
                                    AllowanceQuery,
                                    AllowanceReply,
                                    AllowanceUse,
                                    RestrictedAccounts,
                                    DomainLoad,
                                    DomainShares>;

/// \return the message encoded as CBOR
Bytes encode(const ClusterMessage& message);

/// A message with the sender's hybrid logical timestamp.
struct StampedMessage
{
  HybridTime time;
  ClusterMessage message;
};

/// \return the message and the sender's timestamp encoded as CBOR
Bytes encode(const ClusterMessage& message, const HybridTime& time);

/// \return the message and its timestamp, which is zero if the sender gave none; a Protocol error
/// if the bytes are not a valid message
Result<StampedMessage> decode_stamped_message(const Bytes& bytes);

/// \return the message, or a Protocol error if the bytes are not a valid message
Result<ClusterMessage> decode_message(const Bytes& bytes);

} // namespace lovagehold
