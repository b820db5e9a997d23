#include "consensus_impl.h"

#include <algorithm>
#include <limits>

namespace lovagehold {

namespace {

std::size_t
voter_count(const Membership& members)
{
  return static_cast<std::size_t>(std::count_if(
    members.begin(), members.end(), [](const Member& member) { return member.voter; }));
}

std::ptrdiff_t
voters_in(const Membership& members, const std::string& failure_domain)
{
  return std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.voter && member.failure_domain == failure_domain;
  });
}

} // namespace

void
Consensus::Impl::update_peers()
{
  std::map<MemberId, Peer> next;
  for (const Member& member : log.membership()) {
    if (member.id == self) {
      continue;
    }
    const auto known = peers.find(member.id);
    next[member.id] = known != peers.end()
                        ? std::move(known->second)
                        : Peer{ .next_index = log.last_index() + 1, .last_reply = clock };
  }
  peers = std::move(next);
}

bool
Consensus::Impl::may_change_membership() const
{
  return role == ConsensusRole::Leader && log.membership_index() <= commit_index &&
         is_commit_index_known();
}

bool
Consensus::Impl::has_replied(const Member& member) const
{
  const auto peer = peers.find(member.id);
  return member.id == self || (peer != peers.end() && peer->second.has_replied &&
                               clock - peer->second.last_reply < options.election_timeout);
}

std::string_view
Consensus::Impl::join_obstacle(const Member& member) const
{
  const Membership& members = log.membership();
  bool known = false;
  for (const Member& other : members) {
    const bool same_member = other.id == member.id;
    if (same_member && other.address == member.address) {
      return "it is a member already";
    }
    if ((same_member || other.host == member.host) && has_replied(other)) {
      return "another process of this host is a member and answers";
    }
    known = known || same_member;
  }
  return known || members.size() < options.max_members ? ""
                                                       : "the group has its maximum of members";
}

void
Consensus::Impl::change_membership(const Membership& next)
{
  awaited_learner = 0;
  awaited_since = Duration::zero();
  append(EntryKind::MembershipChange, std::make_shared<const Bytes>(encode(next)));
  update_peers();
  replicate();
}

void
Consensus::Impl::note_voters()
{
  if (options.faults.count_removed_voters) {
    for (const Member& member : log.membership()) {
      if (member.voter) {
        known_voters.insert(member.id);
      }
    }
  }
}

bool
Consensus::Impl::needs_voter(const Membership& members) const
{
  const std::size_t voters = voter_count(members);
  const bool replaces_lost_voter =
    voters == options.target_voters && voters % 2 == 1 && has_lost_voter(members);
  return voters < options.target_voters || replaces_lost_voter;
}

void
Consensus::Impl::promote_learner()
{
  if (!may_change_membership()) {
    return;
  }
  Membership next = log.membership();
  if (!needs_voter(next)) {
    return;
  }
  if (Member* const chosen = next_voter(next)) {
    chosen->voter = true;
    change_membership(next);
  }
}

Member*
Consensus::Impl::next_voter(Membership& members) const
{
  Member* chosen = nullptr;
  for (Member& member : members) {
    if (!member.voter && holds_log(member) && has_replied(member) &&
        (chosen == nullptr ||
         voters_in(members, member.failure_domain) < voters_in(members, chosen->failure_domain))) {
      chosen = &member;
    }
  }
  return chosen;
}

// Exchanges a voter of a failure domain whose loss would end the majority for a learner of another
// one. The learner is promoted first, so that the group bears no fewer losses in between. Its
// domain has at least two voters less, so that each exchange spreads the voters further and none is
// undone by the next.
void
Consensus::Impl::spread_voters()
{
  if (!may_change_membership()) {
    return;
  }
  Membership next = log.membership();
  const std::size_t voters = voter_count(next);
  const bool all_answer = std::all_of(
    next.begin(), next.end(), [&](const Member& m) { return !m.voter || has_replied(m); });
  Member* const fullest = fullest_voter(next);
  if (!all_answer || fullest == nullptr) {
    return;
  }
  const std::ptrdiff_t crowd = voters_in(next, fullest->failure_domain);
  if (voters > options.target_voters) {
    // Cut into halves, an even number of voters has no leader in either.
    if (voters % 2 == 0) {
      fullest->voter = false;
      change_membership(next);
    }
    return;
  }
  const bool ends_majority =
    !fullest->failure_domain.empty() &&
    2 * (static_cast<std::ptrdiff_t>(voters) - crowd) <= static_cast<std::ptrdiff_t>(voters);
  Member* const chosen = next_voter(next);
  if (ends_majority && chosen != nullptr && voters_in(next, chosen->failure_domain) + 2 <= crowd) {
    chosen->voter = true;
    change_membership(next);
  }
}

Member*
Consensus::Impl::fullest_voter(Membership& members) const
{
  Member* fullest = nullptr;
  for (Member& member : members) {
    if (member.voter && member.id != self &&
        (fullest == nullptr || voters_in(members, member.failure_domain) >=
                                 voters_in(members, fullest->failure_domain))) {
      fullest = &member;
    }
  }
  return fullest;
}

void
Consensus::Impl::adapt_membership()
{
  membership_committed = false;
  remove_lost_member();
  promote_learner();
  spread_voters();
}

bool
Consensus::Impl::is_silent(const Member& member, Duration limit) const
{
  const auto peer = peers.find(member.id);
  return member.id != self && peer != peers.end() && clock - peer->second.last_reply >= limit;
}

bool
Consensus::Impl::has_lost_voter(const Membership& members) const
{
  const Duration limit = options.lost_after;
  return limit > Duration::zero() &&
         std::any_of(members.begin(), members.end(), [&](const Member& member) {
           return member.voter && is_silent(member, limit);
         });
}

bool
Consensus::Impl::holds_log(const Member& member) const
{
  const auto peer = peers.find(member.id);
  return peer != peers.end() && peer->second.match_index >= commit_index;
}

bool
Consensus::Impl::follows_closely(const Member& member) const
{
  const auto peer = peers.find(member.id);
  return peer != peers.end() && !commit_history.empty() &&
         clock - commit_history.front().first >= options.election_timeout &&
         peer->second.match_index >= commit_history.front().second;
}

// While entries are committed all the time, a learner behind a slow link never holds the latest one
// and could not become a voter. Commits therefore wait for a learner that is due and follows within
// an election timeout, at most that long. After a wait without a promotion there is none for ten
// times as long.
void
Consensus::Impl::update_awaited_learner()
{
  const Duration waited = clock - awaited_since;
  const bool due = may_change_membership() && needs_voter(log.membership());
  if (awaited_learner != 0 && (!due || waited >= options.election_timeout)) {
    awaited_learner = 0;
    advance_commit();
  }
  if (!due || (awaited_since != Duration::zero() && waited < 10 * options.election_timeout)) {
    return;
  }
  for (const Member& member : log.membership()) {
    if (!member.voter && has_replied(member) && follows_closely(member)) {
      awaited_learner = member.id;
      awaited_since = clock;
      return;
    }
  }
}

std::uint64_t
Consensus::Impl::commit_limit() const
{
  const auto peer = peers.find(awaited_learner);
  return peer == peers.end() ? std::numeric_limits<std::uint64_t>::max()
                             : std::max(commit_index, peer->second.match_index);
}

void
Consensus::Impl::record_commit()
{
  commit_history.emplace_back(clock, commit_index);
  while (commit_history.size() > 1 && clock - commit_history[1].first >= options.election_timeout) {
    commit_history.pop_front();
  }
}

// Removes one member at a time, and a voter only if there are more than wanted or their number is
// even, as one less bears as many losses. promote_learner() adds one while a voter is lost, so its
// replacement votes before it is removed, and the disk of a voter that returns counts until then.
void
Consensus::Impl::remove_lost_member()
{
  const Duration limit = options.lost_after;
  if (limit == Duration::zero() || !may_change_membership()) {
    return;
  }
  const Membership& members = log.membership();
  const std::size_t voters = voter_count(members);
  const bool removable = voters % 2 == 0 || voters > options.target_voters;
  const auto lost = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.voter ? removable && is_silent(member, limit) : is_silent(member, 5 * limit);
  });
  if (lost != members.end()) {
    Membership next = members;
    std::erase_if(next, [&](const Member& member) { return member.id == lost->id; });
    change_membership(next);
  }
}

} // namespace lovagehold
