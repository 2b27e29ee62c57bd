#include "admission/ClientAccount.h"

#include <algorithm>

namespace crocusmount {

namespace {

    using namespace std::chrono_literals;

    /// A connection is not closed for a new one before it has been in its state for this time.
    constexpr Duration MinTimeInState = 500ms;
    /// A running request is kept twice: as it came, and as it is sent to a server.
    constexpr std::uint64_t RunningCopies = 2;
    /// One request may take the memory that running ones leave, divided by this number.
    constexpr std::uint64_t ShareDivisor = 4;
    /// Memory that is made free at once, as a part of the whole, so that not every byte received causes a search.
    constexpr std::uint64_t RoomDivisor = 8;

} // namespace

std::uint64_t ClientAccount::largestShare() const
{
    return m_runningBytes < m_limits.memoryBytes ? (m_limits.memoryBytes - m_runningBytes) / ShareDivisor : 0;
}

void ClientAccount::setUnfinishedBytes(Holder& holder, std::uint64_t bytes)
{
    m_unfinishedBytes = m_unfinishedBytes - holder.unfinishedBytes + bytes;
    holder.unfinishedBytes = bytes;
}

void ClientAccount::setRunningBytes(Holder& holder, std::uint64_t bytes)
{
    m_runningBytes = m_runningBytes - holder.runningBytes + bytes;
    holder.runningBytes = bytes;
}

ClientAccount::Opened ClientAccount::open(TimePoint now)
{
    Opened opened;
    if (m_holders.size() >= m_limits.maxConnections) {
        opened.entry = Entry::Dropped;
    } else if (m_holders.size() >= m_limits.connections) {
        opened.entry = Entry::Rejected;
    }
    if (opened.entry != Entry::Accepted) {
        if (const auto replaced = findReplaceable(now); replaced != m_holders.end()) {
            opened.ended.push_back(replaced->first);
            end(replaced->second, now);
            if (opened.entry == Entry::Rejected)
                opened.entry = Entry::Accepted;
        }
    }
    if (opened.entry == Entry::Dropped)
        return opened;
    opened.id = ConnectionId(m_nextId++);
    Holder& holder = m_holders[opened.id];
    holder.state = opened.entry == Entry::Rejected ? State::Closing : State::Waiting;
    holder.since = now;
    return opened;
}

ClientAccount::Holders::iterator ClientAccount::findReplaceable(TimePoint now)
{
    const auto rank = [](const Holder& holder) { return holder.state == State::Receiving ? 1 : 0; };
    auto best = m_holders.end();
    for (auto each = m_holders.begin(); each != m_holders.end(); ++each) {
        const Holder& holder = each->second;
        const bool isReplaceable = holder.state == State::Waiting || holder.state == State::Receiving;
        if (!isReplaceable || now - holder.since < MinTimeInState)
            continue;
        const bool isBetter = best == m_holders.end() || rank(holder) < rank(best->second)
            || (rank(holder) == rank(best->second) && holder.since < best->second.since);
        if (isBetter)
            best = each;
    }
    return best;
}

void ClientAccount::close(ConnectionId id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return;
    setUnfinishedBytes(found->second, 0);
    setRunningBytes(found->second, 0);
    m_holders.erase(found);
}

void ClientAccount::waitForRequest(ConnectionId id, TimePoint now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || found->second.state == State::Closing)
        return;
    end(found->second, now);
    found->second.state = State::Waiting;
}

void ClientAccount::beginClose(ConnectionId id, TimePoint now)
{
    if (const auto found = m_holders.find(id); found != m_holders.end() && found->second.state != State::Closing)
        end(found->second, now);
}

void ClientAccount::end(Holder& holder, TimePoint now)
{
    setUnfinishedBytes(holder, 0);
    setRunningBytes(holder, 0);
    holder.state = State::Closing;
    holder.since = now;
}

ClientAccount::Granted ClientAccount::receive(ConnectionId id, std::uint64_t bytes, TimePoint now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || found->second.state == State::Closing)
        return { false, {} };
    if (found->second.state != State::Receiving) {
        end(found->second, now);
        found->second.state = State::Receiving;
    }
    if (bytes > found->second.unfinishedBytes && bytes > largestShare()) {
        end(found->second, now);
        return { false, {} };
    }
    return setUnfinished(found, bytes, now);
}

ClientAccount::Granted ClientAccount::keepAnswer(ConnectionId id, std::uint64_t bytes, TimePoint now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || found->second.state != State::Running)
        return {};
    if (!found->second.unfinishedBytes || !bytes)
        found->second.since = now;
    return setUnfinished(found, bytes, now);
}

ClientAccount::Granted ClientAccount::run(ConnectionId id, std::uint64_t bytes, TimePoint now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || found->second.state == State::Closing)
        return { false, {} };
    Holder& holder = found->second;
    setUnfinishedBytes(holder, 0);
    if (bytes > largestShare()) {
        end(holder, now);
        return { false, {} };
    }
    holder.state = State::Running;
    holder.since = now;
    setRunningBytes(holder, bytes * RunningCopies);
    return { true, makeRoom(now) };
}

ClientAccount::Granted ClientAccount::setUnfinished(Holders::iterator found, std::uint64_t bytes, TimePoint now)
{
    setUnfinishedBytes(found->second, bytes);
    Granted granted { true, makeRoom(now) };
    const auto own = std::find(granted.ended.begin(), granted.ended.end(), found->first);
    if (own != granted.ended.end()) {
        granted.isGranted = false;
        granted.ended.erase(own);
    }
    return granted;
}

std::vector<ConnectionId> ClientAccount::makeRoom(TimePoint now)
{
    std::vector<ConnectionId> ended;
    if (heldBytes() <= m_limits.memoryBytes)
        return ended;
    struct Candidate {
        double byteSeconds;
        Holders::iterator holder;
    };
    std::vector<Candidate> candidates;
    for (auto each = m_holders.begin(); each != m_holders.end(); ++each) {
        const Holder& holder = each->second;
        // A request that has just begun counts by its size.
        const auto age = std::max<Duration>(now - holder.since, 1ms);
        if (holder.unfinishedBytes)
            candidates.push_back({ double(holder.unfinishedBytes) * double(age.count()), each });
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) { return a.byteSeconds > b.byteSeconds; });
    const std::uint64_t wanted = m_limits.memoryBytes - m_limits.memoryBytes / RoomDivisor;
    for (const Candidate& each : candidates) {
        if (heldBytes() <= wanted)
            break;
        ended.push_back(each.holder->first);
        end(each.holder->second, now);
    }
    return ended;
}

} // namespace crocusmount
