#include "edge/StoreMirror.h"

#include "edge/DecisionLog.h"
#include "edge/StoreCopySource.h"

#include <set>
#include <utility>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds FirstPause { 100 };
    /// Keeps the copy no later than this behind the store's return.
    constexpr std::chrono::milliseconds LongestPause { 400 };
    /// The same where a peer that asks the store more often is heard: its word comes at once when the store is back.
    constexpr std::chrono::milliseconds LongestPauseBesidePeer { 1500 };
    /// A silence that may have made other clients' leases lapse: shorter ones are retried calls.
    constexpr std::chrono::milliseconds Outage { 1000 };
    /// After this, a call to a store that has fallen silent fails.
    constexpr std::chrono::milliseconds SilenceShows { 2000 };
    /// After an outage, entries that lapsed come back within about two seconds if their owners live.
    constexpr std::chrono::milliseconds LapseGrace { 2300 };
    /// Another instance's word on its copy counts so long; it comes about seven times a second.
    constexpr std::chrono::milliseconds PeerWordLifetime { 600 };
    /// A peer whose last answer from the store is older is not relied on. Beside the 2 s within which a configuration
    /// must be in force, it leaves time for the turns below and a read of one's own.
    constexpr std::chrono::milliseconds OldestPeerAnswer { 1000 };
    /// Changes that a peer has and did not pass on by then were lost on the way, or too large for a datagram.
    constexpr std::chrono::milliseconds PeerDelay { 250 };
    /// A watch is considered stalled if the copy has not advanced for this long while a peer is ahead. Slow watches
    /// that make progress continue, because full reads by hundreds of instances would saturate the store's link.
    constexpr std::chrono::milliseconds WatchStallTimeout { 600 };
    /// Between the turns of two instances to follow the store for others: by then the one before has told its answer.
    constexpr std::chrono::milliseconds TurnInterval { 150 };
    /// Instances of a data centre that follow the store for the others, one after the other's failure. Were more of
    /// them to pass changes on at a time, the copies of one configuration would fill their links for a second.
    constexpr std::size_t MostLeaders = 3;
    /// All others follow it for themselves only, after the last leader's turn, spread over 0.3 s.
    constexpr std::chrono::milliseconds SpreadInterval { 20 };
    constexpr std::size_t SpreadSteps = 16;
    /// Instances that start at the same time have all written their entries by then: one watch brings them.
    constexpr std::chrono::milliseconds StartTogether { 350 };
    /// Between two tries of those others while the store does not answer: a leader or a peer's copy tells them first.
    constexpr std::chrono::milliseconds LongestPauseOfOthers { 3000 };
    /// How often a copy that is fed looks whether it still is.
    constexpr std::chrono::milliseconds FedInterval { 50 };
    /// Between two questions for a peer's copy. Beside the 2 s within which a configuration must be in force it leaves
    /// time to ask three peers that do not answer.
    constexpr std::chrono::milliseconds CopyInterval { 250 };
    /// Limits the out-of-order changes that are buffered until the preceding ones arrive.
    constexpr std::size_t MaxPendingChanges = 32;
    /// Values beyond these are not kept, and the copy is not given to others. A configuration of 1 MB, 820 engines and
    /// 330 instances need 1.5 MB; any client of the store may write more.
    constexpr std::size_t MostHeldBytes = 8U << 20U;

} // namespace

StoreMirror::StoreMirror(net::io_context& context, StoreClient& store, OnChange onChange)
    : m_context(context)
    , m_store(store)
    , m_onChange(std::move(onChange))
    , m_lastAnswer(std::chrono::steady_clock::now())
{
}

void StoreMirror::start()
{
    net::co_spawn(m_context.get_executor(), followLoop(), net::detached);
    net::co_spawn(m_context.get_executor(), catchUpLoop(), net::detached);
    if (m_copySource)
        net::co_spawn(m_context.get_executor(), askPeersLoop(), net::detached);
}

std::chrono::milliseconds StoreMirror::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_lastAnswer);
}

Awaitable<void> StoreMirror::followLoop()
{
    Timer timer(m_context.get_executor());
    std::chrono::milliseconds pause = FirstPause;
    while (true) {
        absl::Status status;
        if (m_stale)
            status = co_await readAll();
        const bool isFollowing = isFed() && !isBehindPeer();
        m_follows = !isFollowing && isOurTurn();
        if (!m_stale && !m_follows) {
            timer.expires_after(FedInterval);
            co_await timer.async_wait(net::as_tuple(useAwaitable));
            reportLapsed();
            continue;
        }
        if (!m_stale) {
            m_watchSince = std::chrono::steady_clock::now();
            status = co_await watchOnce();
            m_watchSince.reset();
            if (status.ok())
                continue;
            if (absl::IsOutOfRange(status)) {
                relay::DecisionLog::state("store_history_lost", { { "revision", m_revision } });
                m_stale = true;
                continue;
            }
        }
        lostContact(status);
        co_await waitUnlessBehind(pause);
        pause = m_inContact ? FirstPause : std::min(pause * 2, longestPause());
    }
}

std::chrono::milliseconds StoreMirror::longestPause() const
{
    if (!m_complete || m_turn == 0)
        return LongestPause;
    const bool peerAsks = std::chrono::steady_clock::now() < m_peerHeardUntil;
    if (!peerAsks)
        return LongestPause;
    return m_turn < MostLeaders ? LongestPauseBesidePeer : LongestPauseOfOthers;
}

/// Waits, but not for as long where a peer is ahead.
Awaitable<void> StoreMirror::waitUnlessBehind(std::chrono::milliseconds span)
{
    Timer timer(m_context.get_executor());
    const auto start = std::chrono::steady_clock::now();
    timer.expires_after(std::min(span, LongestPause));
    co_await timer.async_wait(net::as_tuple(useAwaitable));
    while (std::chrono::steady_clock::now() < start + span && !isBehindPeer()) {
        timer.expires_after(FedInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
}

/// Reads the store where a peer is ahead and the watch that should tell has hung since an outage. Without it a copy
/// that missed one datagram stood still for as long as its watch was allowed to take.
Awaitable<void> StoreMirror::catchUpLoop()
{
    Timer timer(m_context.get_executor());
    std::chrono::milliseconds pause = FedInterval;
    while (true) {
        timer.expires_after(pause);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        pause = FedInterval;
        const auto now = std::chrono::steady_clock::now();
        if (!m_complete || !m_watchSince || now < std::max(*m_watchSince, m_advancedAt) + WatchStallTimeout
            || !isBehindPeer())
            continue;
        relay::DecisionLog::state("store_behind_peer",
            { { "revision", m_revision }, { "peer_revision", m_peerRevision },
                { "watch_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_watchSince).count() } });
        const absl::Status status = co_await readAll();
        if (status.ok())
            continue;
        relay::DecisionLog::state("store_unread", { { "error", std::string(status.message()) } });
        pause = LongestPause;
    }
}

/// An instance that the store turns away for 20 s answered by the old configuration until then, as nothing else told it
/// of the new one.
Awaitable<void> StoreMirror::askPeersLoop()
{
    Timer timer(m_context.get_executor());
    while (true) {
        timer.expires_after(CopyInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        if (needsPeersCopy())
            co_await askPeers();
    }
}

bool StoreMirror::needsPeersCopy() const
{
    const bool followsPeer = !m_stale && isFed() && !isBehindPeer();
    return m_mayBeFed && !followsPeer && (!m_inContact || age() > OldestPeerAnswer);
}

Awaitable<void> StoreMirror::askPeers()
{
    const auto asked = std::chrono::steady_clock::now();
    const auto copy = co_await m_copySource->copyNewerThan(m_stale ? 0 : m_revision);
    if (!copy.ok() || !*copy)
        co_return; // The source logs and counts what it could not get.
    const Copy& newer = **copy;
    if (newer.range.revision < m_revision)
        co_return; // The store answered meanwhile.
    m_trustDeletionsFrom = std::max(m_trustDeletionsFrom, asked + newer.progress.lapseGrace);
    m_peerAnswered = std::max(m_peerAnswered, asked - newer.progress.age);
    m_lastAnswer = std::max(m_lastAnswer, m_peerAnswered);
    replaceBy(newer.range);
    reportLapsed();
}

Awaitable<absl::Status> StoreMirror::readAll()
{
    std::string begin;
    std::string end;
    const auto range = co_await m_store.range(std::move(begin), std::move(end));
    if (!range.ok())
        co_return range.status();
    regainedContact();
    replaceBy(*range);
    co_return absl::OkStatus();
}

void StoreMirror::replaceBy(const StoreRange& range)
{
    std::set<std::string> present;
    for (const StoreEntry& entry : range.entries) {
        present.insert(entry.key);
        take({ entry, false });
    }
    std::vector<std::string> gone;
    for (const auto& [key, held] : m_held) {
        if (!present.count(key))
            gone.push_back(key);
    }
    for (const std::string& key : gone)
        take({ { key, {}, range.revision }, true });
    setRevision(range.revision);
    applyPendingChanges();
    m_stale = false;
    if (!std::exchange(m_complete, true))
        m_fedUntil = std::chrono::steady_clock::now() + StartTogether;
}

Awaitable<absl::Status> StoreMirror::watchOnce()
{
    std::string begin;
    std::string end;
    StoreClient::OnWatch onWatch = [this](const StoreWatchBatch& batch) {
        regainedContact();
        const std::int64_t before = m_revision;
        for (const StoreEvent& event : batch.events)
            take(event);
        setRevision(std::max(m_revision, batch.revision));
        reportLapsed();
        if (m_onBatch && !batch.events.empty())
            m_onBatch({ before, batch });
        return (!isFed() && isOurTurn()) || isBehindPeer();
    };
    co_return co_await m_store.watch(std::move(begin), std::move(end), m_revision + 1, std::move(onWatch));
}

std::vector<StoreMirror::Changes> StoreMirror::split(const Changes& changes, std::size_t bytes)
{
    std::vector<Changes> parts { { changes.after, { changes.after, {} } } };
    std::size_t size = 0;
    for (const StoreEvent& event : changes.batch.events) {
        const std::size_t next = event.entry.key.size() + event.entry.value.size();
        const std::int64_t last = parts.back().batch.revision;
        if (size + next > bytes && size > 0 && event.entry.modRevision > last) {
            parts.push_back({ last, { last, {} } });
            size = 0;
        }
        size += next;
        parts.back().batch.events.push_back(event);
        parts.back().batch.revision = std::max(last, event.entry.modRevision);
    }
    parts.back().batch.revision = changes.batch.revision;
    return parts;
}

StoreMirror::Progress StoreMirror::progress() const
{
    const auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_trustDeletionsFrom - std::chrono::steady_clock::now());
    return { m_revision, age(), std::max(grace, std::chrono::milliseconds(0)) };
}

StoreMirror::Copy StoreMirror::copy() const
{
    Copy copy { progress(), { m_revision, {} } };
    copy.range.entries.reserve(m_held.size());
    for (const auto& [key, held] : m_held)
        copy.range.entries.push_back({ key, held.value, held.revision });
    return copy;
}

bool StoreMirror::isCurrent() const { return m_complete && !m_stale && age() <= OldestPeerAnswer && m_leftOut == 0; }

void StoreMirror::hold(const StoreEntry& entry)
{
    Held& held = m_held[entry.key];
    m_heldBytes += entry.value.size() - held.size;
    const bool fits = m_heldBytes <= MostHeldBytes;
    if (held.isLeftOut)
        --m_leftOut;
    if (!fits)
        ++m_leftOut;
    held = { entry.modRevision, entry.value.size(), fits ? entry.value : std::string(), !fits };
}

void StoreMirror::letGo(std::map<std::string, Held>::iterator held)
{
    m_heldBytes -= held->second.size;
    if (held->second.isLeftOut)
        --m_leftOut;
    m_held.erase(held);
    // What was left out fits again: it is read with all the rest.
    if (m_leftOut && m_heldBytes <= MostHeldBytes / 2)
        m_stale = true;
}

void StoreMirror::peerIsAt(const Progress& peer)
{
    const auto now = std::chrono::steady_clock::now();
    m_peerHeardUntil = now + PeerWordLifetime;
    if (!m_mayBeFed || !m_complete || peer.age > OldestPeerAnswer)
        return;
    m_peerSpoke = true;
    m_peerAnswered = std::max(m_peerAnswered, now - peer.age);
    m_fedUntil = now + std::min(PeerWordLifetime, OldestPeerAnswer - peer.age);
    m_trustDeletionsFrom = std::max(m_trustDeletionsFrom, now + peer.lapseGrace);
    if (peer.revision > m_revision && m_peerRevision <= m_revision)
        m_behindSince = now;
    m_peerRevision = std::max(m_peerRevision, peer.revision);
    if (peer.revision <= m_revision)
        m_lastAnswer = std::max(m_lastAnswer, now - peer.age);
}

void StoreMirror::takeFromPeer(const Changes& changes)
{
    if (!m_mayBeFed || !m_complete || m_stale || changes.batch.revision <= m_revision)
        return;
    if (changes.after > m_revision) {
        m_pendingChanges.insert_or_assign(changes.after, changes);
        if (m_pendingChanges.size() > MaxPendingChanges)
            m_pendingChanges.erase(std::prev(m_pendingChanges.end()));
        return;
    }
    apply(changes);
    applyPendingChanges();
    reportLapsed();
}

void StoreMirror::applyPendingChanges()
{
    while (!m_pendingChanges.empty() && m_pendingChanges.begin()->first <= m_revision) {
        const Changes next = std::move(m_pendingChanges.extract(m_pendingChanges.begin()).mapped());
        if (next.batch.revision > m_revision)
            apply(next);
    }
}

void StoreMirror::apply(const Changes& changes)
{
    for (const StoreEvent& event : changes.batch.events)
        take(event);
    setRevision(changes.batch.revision);
}

void StoreMirror::setRevision(std::int64_t revision)
{
    if (revision > m_revision)
        m_advancedAt = std::chrono::steady_clock::now();
    m_revision = revision;
}

bool StoreMirror::isOurTurn() const
{
    // What a peer has and did not pass on is read at once: it may be a configuration.
    return isBehindPeer() || std::chrono::steady_clock::now() >= m_fedUntil + waitForTurn();
}

std::chrono::milliseconds StoreMirror::waitForTurn() const
{
    if (m_turn < MostLeaders)
        return static_cast<int>(m_turn) * TurnInterval;
    return static_cast<int>(MostLeaders) * TurnInterval + static_cast<int>(m_turn % SpreadSteps) * SpreadInterval;
}

bool StoreMirror::leads() const { return m_follows && m_inContact && !m_stale && m_turn < MostLeaders; }

bool StoreMirror::isBehindPeer() const
{
    return m_peerRevision > m_revision && std::chrono::steady_clock::now() > m_behindSince + PeerDelay;
}

void StoreMirror::take(const StoreEvent& event)
{
    const std::string& key = event.entry.key;
    const auto known = m_held.find(key);
    if (known != m_held.end() && event.entry.modRevision < known->second.revision)
        return;
    if (event.deleted) {
        if (known == m_held.end())
            return;
        if (std::chrono::steady_clock::now() < m_trustDeletionsFrom) {
            m_lapsed.try_emplace(key, m_trustDeletionsFrom);
            return;
        }
        letGo(known);
        m_lapsed.erase(key);
        m_onChange(event);
        return;
    }
    m_lapsed.erase(key);
    if (known != m_held.end() && event.entry.modRevision == known->second.revision) {
        if (known->second.isLeftOut)
            hold(event.entry);
        return;
    }
    hold(event.entry);
    m_onChange(event);
}

void StoreMirror::reportLapsed()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> due;
    for (const auto& [key, time] : m_lapsed) {
        if (now >= time)
            due.push_back(key);
    }
    for (const std::string& key : due)
        take({ { key, {}, m_revision }, true });
}

void StoreMirror::lostContact(const absl::Status& status)
{
    if (!m_inContact)
        return;
    m_inContact = false;
    const auto now = std::chrono::steady_clock::now();
    // A call that was cut ended at once; one that fell silent took its time to show it.
    m_lostSince = absl::IsDeadlineExceeded(status) ? now - SilenceShows : now;
    relay::DecisionLog::state("store_lost",
        { { "silent_ms", age().count() }, { "revision", m_revision }, { "error", std::string(status.message()) } });
}

void StoreMirror::regainedContact()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_inContact && m_complete) {
        // Where peers' copies went on, the store was away for this instance alone, and nothing lapsed. Deletions were
        // held back all the same, and told to be by the peers: calls reached a server 2.1 s after it had left.
        if (now - m_lostSince > Outage && now - m_peerAnswered > Outage)
            m_trustDeletionsFrom = now + LapseGrace;
        relay::DecisionLog::state("store_regained", { { "silent_ms", age().count() }, { "revision", m_revision } });
    }
    m_inContact = true;
    m_lastAnswer = now;
}

} // namespace crocusmount
