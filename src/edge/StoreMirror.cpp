#include "edge/StoreMirror.h"

#include "edge/DecisionLog.h"
#include "edge/StoreCopySource.h"

#include <set>
#include <utility>

namespace crocusmount {

namespace {

    /// Pause after the first failed call to the store; doubled after each further failure.
    constexpr std::chrono::milliseconds MinRetryPause { 100 };
    /// Bounds the delay after which the copy notices that the store is back.
    constexpr std::chrono::milliseconds MaxRetryPause { 400 };
    /// Maximum pause between failed calls to the store of a distributor that receives a peer's progress. The peer calls
    /// the store more often and reports immediately when the store is back.
    constexpr std::chrono::milliseconds MaxDistributorRetryPause { 1500 };
    /// Outages that are longer than this may let other clients' leases expire. Shorter ones are retried calls.
    constexpr std::chrono::milliseconds MinOutage { 1000 };
    /// Time after which a call to a store that has become silent fails.
    constexpr std::chrono::milliseconds SilentCallTimeout { 2000 };
    /// After an outage, deletions are deferred for this time. Live owners of entries whose leases expired write them
    /// again within about two seconds.
    constexpr std::chrono::milliseconds DeletionGrace { 2300 };
    /// Time for which a peer's progress stays valid. Progress is reported about seven times a second.
    constexpr std::chrono::milliseconds PeerProgressLifetime { 600 };
    /// Peers whose last answer from the store is older do not feed a copy. Of the 2 s within which a configuration must
    /// be in force, this leaves time for the watch delays below and for a read of the store.
    constexpr std::chrono::milliseconds MaxPeerAnswerAge { 1000 };
    /// Changes of a peer that have not arrived after this time were lost, or are too large for a datagram.
    constexpr std::chrono::milliseconds MaxPeerDelay { 250 };
    /// A watch is considered stalled if the copy has not advanced for this long while a peer is ahead. Slow watches
    /// that make progress continue, because full reads by hundreds of instances would saturate the store's link.
    constexpr std::chrono::milliseconds WatchStallTimeout { 600 };
    /// Difference between the watch delays of two distributors of adjacent ranks. It gives the first of them time to
    /// report an answer of the store.
    constexpr std::chrono::milliseconds WatchDelayPerRank { 150 };
    /// Number of instances of a data centre that can pass the store's changes on to the others. Usually only the first
    /// one does, and the others take over when it fails. If more of them passed changes on at the same time, the copies
    /// of one configuration would saturate their links for a second.
    constexpr std::size_t MaxDistributors = 3;
    /// Instances that are not distributors watch the store only for themselves. Their watch delays follow that of the
    /// last distributor and are spread over 0.3 s in steps.
    constexpr std::chrono::milliseconds FollowerDelayStep { 20 };
    constexpr std::size_t FollowerDelaySteps = 16;
    /// Delay of the first watch. Instances that start at the same time have written their entries by then, so that one
    /// watch returns all of them.
    constexpr std::chrono::milliseconds StartupDelay { 350 };
    /// Maximum pause between failed calls to the store of an instance that is not a distributor and receives a peer's
    /// progress. A distributor or a peer's copy brings it changes earlier than its own calls.
    constexpr std::chrono::milliseconds MaxFollowerRetryPause { 3000 };
    /// Interval of the checks whether a fed copy is still fed, whether a peer is ahead and whether a watch is stalled.
    constexpr std::chrono::milliseconds PollInterval { 50 };
    /// Interval of the requests for a peer's copy. Of the 2 s within which a configuration must be in force, it leaves
    /// time to ask three peers that do not answer.
    constexpr std::chrono::milliseconds PeerCopyInterval { 250 };
    /// Maximum number of out-of-order changes that are buffered until the preceding ones arrive.
    constexpr std::size_t MaxPendingChanges = 32;
    /// Maximum total size of the values in a copy. Values beyond it are omitted, and the copy is not given to other
    /// instances. A configuration of 1 MB with 820 engines and 330 instances needs 1.5 MB, but any client of the store
    /// may write more.
    constexpr std::size_t MaxValueBytes = 8U << 20U;

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
    net::co_spawn(m_context.get_executor(), watchLoop(), net::detached);
    net::co_spawn(m_context.get_executor(), catchUpLoop(), net::detached);
    if (m_copySource)
        net::co_spawn(m_context.get_executor(), peerCopyLoop(), net::detached);
}

std::chrono::milliseconds StoreMirror::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_lastAnswer);
}

/// Reads or watches the store while that is this instance's task, and otherwise waits until it becomes so.
Awaitable<void> StoreMirror::watchLoop()
{
    Timer timer(m_context.get_executor());
    std::chrono::milliseconds pause = MinRetryPause;
    while (true) {
        absl::Status status;
        if (m_needsFullRead)
            status = co_await readAll();
        const bool isFedByPeer = isFed() && !isBehindPeer();
        m_isWatching = !isFedByPeer && shouldWatch();
        if (!m_needsFullRead && !m_isWatching) {
            timer.expires_after(PollInterval);
            co_await timer.async_wait(net::as_tuple(useAwaitable));
            applyDueDeletions();
            continue;
        }
        if (!m_needsFullRead) {
            m_watchStartedAt = std::chrono::steady_clock::now();
            status = co_await watchOnce();
            m_watchStartedAt.reset();
            if (status.ok())
                continue;
            if (absl::IsOutOfRange(status)) {
                relay::DecisionLog::state("store_history_lost", { { "revision", m_revision } });
                m_needsFullRead = true;
                continue;
            }
        }
        noteStoreLost(status);
        co_await pauseUnlessBehindPeer(pause);
        pause = m_isStoreReachable ? MinRetryPause : std::min(pause * 2, maxRetryPause());
    }
}

/// @return maximum pause between failed calls to the store
std::chrono::milliseconds StoreMirror::maxRetryPause() const
{
    if (!m_isComplete || m_watchRank == 0)
        return MaxRetryPause;
    const bool isPeerAlive = std::chrono::steady_clock::now() < m_peerProgressValidUntil;
    if (!isPeerAlive)
        return MaxRetryPause;
    return m_watchRank < MaxDistributors ? MaxDistributorRetryPause : MaxFollowerRetryPause;
}

/// Waits for a duration. Once MaxRetryPause has passed, the wait ends early if a peer is ahead.
Awaitable<void> StoreMirror::pauseUnlessBehindPeer(std::chrono::milliseconds duration)
{
    Timer timer(m_context.get_executor());
    const auto start = std::chrono::steady_clock::now();
    timer.expires_after(std::min(duration, MaxRetryPause));
    co_await timer.async_wait(net::as_tuple(useAwaitable));
    while (std::chrono::steady_clock::now() < start + duration && !isBehindPeer()) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
}

/// Reads the whole store when a peer is ahead and the watch in flight is stalled. A watch can hang after an outage.
/// Without this read, a copy that missed one datagram would not advance until its watch times out.
Awaitable<void> StoreMirror::catchUpLoop()
{
    Timer timer(m_context.get_executor());
    std::chrono::milliseconds pause = PollInterval;
    while (true) {
        timer.expires_after(pause);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        pause = PollInterval;
        const auto now = std::chrono::steady_clock::now();
        if (!m_isComplete || !m_watchStartedAt || now < std::max(*m_watchStartedAt, m_advancedAt) + WatchStallTimeout
            || !isBehindPeer())
            continue;
        relay::DecisionLog::state("store_behind_peer",
            { { "revision", m_revision }, { "peer_revision", m_peerRevision },
                { "watch_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_watchStartedAt).count() } });
        const absl::Status status = co_await readAll();
        if (status.ok())
            continue;
        relay::DecisionLog::state("store_unread", { { "error", std::string(status.message()) } });
        pause = MaxRetryPause;
    }
}

/// Fetches a peer's copy while the store does not answer this instance. Otherwise an instance whose calls the store
/// rejects, for example for 20 s, would apply an outdated configuration for all of that time.
Awaitable<void> StoreMirror::peerCopyLoop()
{
    Timer timer(m_context.get_executor());
    while (true) {
        timer.expires_after(PeerCopyInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        if (needsPeerCopy())
            co_await fetchPeerCopy();
    }
}

bool StoreMirror::needsPeerCopy() const
{
    const bool isFedByPeer = !m_needsFullRead && isFed() && !isBehindPeer();
    return m_isFeedAllowed && !isFedByPeer && (!m_isStoreReachable || age() > MaxPeerAnswerAge);
}

Awaitable<void> StoreMirror::fetchPeerCopy()
{
    const auto requestedAt = std::chrono::steady_clock::now();
    const auto copy = co_await m_copySource->copyNewerThan(m_needsFullRead ? 0 : m_revision);
    if (!copy.ok() || !*copy)
        co_return; // The source logs and counts failed requests.
    const Copy& newer = **copy;
    if (newer.range.revision < m_revision)
        co_return; // The store answered meanwhile.
    m_deferDeletionsUntil = std::max(m_deferDeletionsUntil, requestedAt + newer.progress.lapseGrace);
    m_peerLastAnswer = std::max(m_peerLastAnswer, requestedAt - newer.progress.age);
    m_lastAnswer = std::max(m_lastAnswer, m_peerLastAnswer);
    replaceWith(newer.range);
    applyDueDeletions();
}

Awaitable<absl::Status> StoreMirror::readAll()
{
    std::string begin;
    std::string end;
    const auto range = co_await m_store.range(std::move(begin), std::move(end));
    if (!range.ok())
        co_return range.status();
    noteStoreAnswer();
    replaceWith(*range);
    co_return absl::OkStatus();
}

/// Replaces the copy with a complete one, and reports the differences as changes.
void StoreMirror::replaceWith(const StoreRange& range)
{
    std::set<std::string> present;
    for (const StoreEntry& entry : range.entries) {
        present.insert(entry.key);
        applyEvent({ entry, false });
    }
    std::vector<std::string> gone;
    for (const auto& [key, cached] : m_entries) {
        if (!present.count(key))
            gone.push_back(key);
    }
    for (const std::string& key : gone)
        applyEvent({ { key, {}, range.revision }, true });
    setRevision(range.revision);
    applyPendingChanges();
    m_needsFullRead = false;
    if (!std::exchange(m_isComplete, true))
        m_feedValidUntil = std::chrono::steady_clock::now() + StartupDelay;
}

Awaitable<absl::Status> StoreMirror::watchOnce()
{
    std::string begin;
    std::string end;
    StoreClient::OnWatch onWatch = [this](const StoreWatchBatch& batch) {
        noteStoreAnswer();
        const std::int64_t before = m_revision;
        for (const StoreEvent& event : batch.events)
            applyEvent(event);
        setRevision(std::max(m_revision, batch.revision));
        applyDueDeletions();
        if (m_onBatch && !batch.events.empty())
            m_onBatch({ before, batch });
        return (!isFed() && shouldWatch()) || isBehindPeer();
    };
    co_return co_await m_store.watch(std::move(begin), std::move(end), m_revision + 1, std::move(onWatch));
}

std::vector<StoreMirror::Changes> StoreMirror::split(const Changes& changes, std::size_t maxBytes)
{
    std::vector<Changes> parts { { changes.after, { changes.after, {} } } };
    std::size_t partBytes = 0;
    for (const StoreEvent& event : changes.batch.events) {
        const std::size_t eventBytes = event.entry.key.size() + event.entry.value.size();
        const std::int64_t lastRevision = parts.back().batch.revision;
        if (partBytes + eventBytes > maxBytes && partBytes > 0 && event.entry.modRevision > lastRevision) {
            parts.push_back({ lastRevision, { lastRevision, {} } });
            partBytes = 0;
        }
        partBytes += eventBytes;
        parts.back().batch.events.push_back(event);
        parts.back().batch.revision = std::max(lastRevision, event.entry.modRevision);
    }
    parts.back().batch.revision = changes.batch.revision;
    return parts;
}

StoreMirror::Progress StoreMirror::progress() const
{
    const auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_deferDeletionsUntil - std::chrono::steady_clock::now());
    return { m_revision, age(), std::max(grace, std::chrono::milliseconds(0)) };
}

StoreMirror::Copy StoreMirror::copy() const
{
    Copy copy { progress(), { m_revision, {} } };
    copy.range.entries.reserve(m_entries.size());
    for (const auto& [key, cached] : m_entries)
        copy.range.entries.push_back({ key, cached.value, cached.revision });
    return copy;
}

bool StoreMirror::isCurrent() const
{
    return m_isComplete && !m_needsFullRead && age() <= MaxPeerAnswerAge && m_omittedValues == 0;
}

void StoreMirror::cacheEntry(const StoreEntry& entry)
{
    CachedEntry& cached = m_entries[entry.key];
    m_valueBytes += entry.value.size() - cached.size;
    const bool fits = m_valueBytes <= MaxValueBytes;
    if (cached.isValueOmitted)
        --m_omittedValues;
    if (!fits)
        ++m_omittedValues;
    cached = { entry.modRevision, entry.value.size(), fits ? entry.value : std::string(), !fits };
}

void StoreMirror::removeEntry(std::map<std::string, CachedEntry>::iterator cached)
{
    m_valueBytes -= cached->second.size;
    if (cached->second.isValueOmitted)
        --m_omittedValues;
    m_entries.erase(cached);
    // There is room for the omitted values again. Only a full read returns them.
    if (m_omittedValues && m_valueBytes <= MaxValueBytes / 2)
        m_needsFullRead = true;
}

void StoreMirror::notePeerProgress(const Progress& peer)
{
    const auto now = std::chrono::steady_clock::now();
    m_peerProgressValidUntil = now + PeerProgressLifetime;
    if (!m_isFeedAllowed || !m_isComplete || peer.age > MaxPeerAnswerAge)
        return;
    m_wasEverFed = true;
    m_peerLastAnswer = std::max(m_peerLastAnswer, now - peer.age);
    m_feedValidUntil = now + std::min(PeerProgressLifetime, MaxPeerAnswerAge - peer.age);
    m_deferDeletionsUntil = std::max(m_deferDeletionsUntil, now + peer.lapseGrace);
    if (peer.revision > m_revision && m_peerRevision <= m_revision)
        m_behindPeerSince = now;
    m_peerRevision = std::max(m_peerRevision, peer.revision);
    if (peer.revision <= m_revision)
        m_lastAnswer = std::max(m_lastAnswer, now - peer.age);
}

void StoreMirror::applyPeerChanges(const Changes& changes)
{
    if (!m_isFeedAllowed || !m_isComplete || m_needsFullRead || changes.batch.revision <= m_revision)
        return;
    if (changes.after > m_revision) {
        m_pendingChanges.insert_or_assign(changes.after, changes);
        if (m_pendingChanges.size() > MaxPendingChanges)
            m_pendingChanges.erase(std::prev(m_pendingChanges.end()));
        return;
    }
    applyChanges(changes);
    applyPendingChanges();
    applyDueDeletions();
}

void StoreMirror::applyPendingChanges()
{
    while (!m_pendingChanges.empty() && m_pendingChanges.begin()->first <= m_revision) {
        const Changes next = std::move(m_pendingChanges.extract(m_pendingChanges.begin()).mapped());
        if (next.batch.revision > m_revision)
            applyChanges(next);
    }
}

void StoreMirror::applyChanges(const Changes& changes)
{
    for (const StoreEvent& event : changes.batch.events)
        applyEvent(event);
    setRevision(changes.batch.revision);
}

void StoreMirror::setRevision(std::int64_t revision)
{
    if (revision > m_revision)
        m_advancedAt = std::chrono::steady_clock::now();
    m_revision = revision;
}

/// @return whether the copy is not fed and all instances before this one have had time to watch the store, or a peer is
///         ahead
bool StoreMirror::shouldWatch() const
{
    // Missing changes are read without delay, as they may contain a configuration.
    return isBehindPeer() || std::chrono::steady_clock::now() >= m_feedValidUntil + watchDelay();
}

/// @return time from the end of a feed until this instance watches the store
std::chrono::milliseconds StoreMirror::watchDelay() const
{
    if (m_watchRank < MaxDistributors)
        return static_cast<int>(m_watchRank) * WatchDelayPerRank;
    return static_cast<int>(MaxDistributors) * WatchDelayPerRank
        + static_cast<int>(m_watchRank % FollowerDelaySteps) * FollowerDelayStep;
}

bool StoreMirror::distributesChanges() const
{
    return m_isWatching && m_isStoreReachable && !m_needsFullRead && m_watchRank < MaxDistributors;
}

/// @return whether a peer has had a later revision for so long that its changes will not arrive any more
bool StoreMirror::isBehindPeer() const
{
    return m_peerRevision > m_revision && std::chrono::steady_clock::now() > m_behindPeerSince + MaxPeerDelay;
}

/// Applies and reports one change, unless the copy already has it or a later one. Deletions are deferred for some time
/// after an outage.
void StoreMirror::applyEvent(const StoreEvent& event)
{
    const std::string& key = event.entry.key;
    const auto known = m_entries.find(key);
    if (known != m_entries.end() && event.entry.modRevision < known->second.revision)
        return;
    if (event.deleted) {
        if (known == m_entries.end())
            return;
        if (std::chrono::steady_clock::now() < m_deferDeletionsUntil) {
            m_deferredDeletions.try_emplace(key, m_deferDeletionsUntil);
            return;
        }
        removeEntry(known);
        m_deferredDeletions.erase(key);
        m_onChange(event);
        return;
    }
    m_deferredDeletions.erase(key);
    if (known != m_entries.end() && event.entry.modRevision == known->second.revision) {
        if (known->second.isValueOmitted)
            cacheEntry(event.entry);
        return;
    }
    cacheEntry(event.entry);
    m_onChange(event);
}

void StoreMirror::applyDueDeletions()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> due;
    for (const auto& [key, time] : m_deferredDeletions) {
        if (now >= time)
            due.push_back(key);
    }
    for (const std::string& key : due)
        applyEvent({ { key, {}, m_revision }, true });
}

void StoreMirror::noteStoreLost(const absl::Status& status)
{
    if (!m_isStoreReachable)
        return;
    m_isStoreReachable = false;
    const auto now = std::chrono::steady_clock::now();
    // A broken connection is noticed immediately, a silent store only after the timeout of the call.
    m_storeLostAt = absl::IsDeadlineExceeded(status) ? now - SilentCallTimeout : now;
    relay::DecisionLog::state("store_lost",
        { { "silent_ms", age().count() }, { "revision", m_revision }, { "error", std::string(status.message()) } });
}

void StoreMirror::noteStoreAnswer()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_isStoreReachable && m_isComplete) {
        // If the store answered peers, only this instance had lost it, and no leases expired. Deferring deletions in
        // that case, here and through the reported grace at the peers, let calls reach a server 2.1 s after it
        // had left.
        if (now - m_storeLostAt > MinOutage && now - m_peerLastAnswer > MinOutage)
            m_deferDeletionsUntil = now + DeletionGrace;
        relay::DecisionLog::state("store_regained", { { "silent_ms", age().count() }, { "revision", m_revision } });
    }
    m_isStoreReachable = true;
    m_lastAnswer = now;
}

} // namespace crocusmount
