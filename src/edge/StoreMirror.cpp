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
    /// Maximum pause between a distributor's failed calls to the store while it receives a peer's progress. The peer
    /// calls the store more often and reports immediately when the store is back.
    constexpr std::chrono::milliseconds MaxDistributorRetryPause { 1500 };
    /// Outages that are longer than this may let other clients' leases expire. Shorter ones only cause retries.
    constexpr std::chrono::milliseconds MinOutage { 1000 };
    /// The same for the time between two answers of the store to peers. They are asked from a second after the store's
    /// last answer on.
    constexpr std::chrono::milliseconds MaxPeerGap { 2000 };
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
    /// Like MaxDistributorRetryPause, for an instance that is not a distributor. A distributor or a peer's copy brings
    /// it changes earlier than its own calls.
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
    , m_storeLostAt(m_lastAnswer)
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
        if (m_needsFullRead) {
            status = co_await readAll();
            if (status.ok() && m_needsFullRead)
                continue; // A later copy had arrived meanwhile.
        }
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
        applyDueDeletions();
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
    if (!copy.ok())
        co_return; // The source logs and counts failed requests.
    adoptGrace(copy->progress, requestedAt);
    if (copy->newer)
        applyPeerCopy(*copy->newer);
    notePeerAnswer(copy->progress, requestedAt);
    applyDueDeletions();
}

/// Applies another instance's copy, unless the store answered meanwhile with a later revision.
void StoreMirror::applyPeerCopy(const Copy& copy)
{
    const bool wasComplete = m_isComplete;
    if (!replaceWith(copy.range) || wasComplete)
        return;
    // A copy that was complete before has either processed these deletions or has deferred them now.
    for (const StoreEntry& entry : copy.deferred) {
        if (!m_entries.count(entry.key)) {
            applyEvent({ entry, false });
            m_deferredDeletions.insert(entry.key);
        }
    }
}

/// Defers deletions for as long as a peer does.
/// @param reportedAt  when the peer reported it, or earlier
void StoreMirror::adoptGrace(const Progress& peer, std::chrono::steady_clock::time_point reportedAt)
{
    if (peer.lapseGrace.count())
        m_deferDeletionsUntil = std::max(m_deferDeletionsUntil, reportedAt + peer.lapseGrace);
}

/// Takes note of the store's last answer to a peer.
/// @param reportedAt  when the peer reported it, or earlier
void StoreMirror::notePeerAnswer(const Progress& peer, std::chrono::steady_clock::time_point reportedAt)
{
    const auto answeredAt = reportedAt - peer.age;
    if (!m_isStoreReachable && answeredAt > m_peerLastAnswer.value_or(m_storeLostAt)) {
        noteReturn(answeredAt, MaxPeerGap);
        m_peerLastAnswer = answeredAt;
    }
    if (peer.revision <= m_revision)
        m_lastAnswer = std::max(m_lastAnswer, answeredAt);
}

/// Defers deletions if the store answered nobody for long. If it answered peers meanwhile, only this instance had lost
/// it, and no leases expired: deletions that were deferred in that case, here and through the reported grace at the
/// peers, let calls reach a server 2.1 s after it had left.
/// @param answeredAt  when the store answered this instance or a peer, which it had not done since the last known
/// answer
/// @param maxSilence  time without an answer in which no leases expire
void StoreMirror::noteReturn(std::chrono::steady_clock::time_point answeredAt, std::chrono::milliseconds maxSilence)
{
    if (m_isComplete && answeredAt - m_peerLastAnswer.value_or(m_storeLostAt) > maxSilence)
        m_deferDeletionsUntil = std::max(m_deferDeletionsUntil, answeredAt + DeletionGrace);
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
/// @return false if the copy is later: going back would skip the changes between the two in a watch that is under way
bool StoreMirror::replaceWith(const StoreRange& range)
{
    if (m_isComplete && range.revision < m_revision)
        return false;
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
    return true;
}

Awaitable<absl::Status> StoreMirror::watchOnce()
{
    std::string begin;
    std::string end;
    StoreClient::OnWatch onWatch = [this](const StoreWatchBatch& batch) {
        noteStoreAnswer();
        const std::int64_t before = m_revision;
        applyBatch(batch);
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
    Copy copy { { m_revision, {} } };
    copy.range.entries.reserve(m_entries.size());
    for (const auto& [key, cached] : m_entries) {
        std::vector<StoreEntry>& entries = m_deferredDeletions.count(key) ? copy.deferred : copy.range.entries;
        entries.push_back({ key, cached.value, cached.revision });
    }
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
    m_feedValidUntil = now + std::min(PeerProgressLifetime, MaxPeerAnswerAge - peer.age);
    adoptGrace(peer, now);
    if (peer.revision > m_revision && m_peerRevision <= m_revision)
        m_behindPeerSince = now;
    m_peerRevision = std::max(m_peerRevision, peer.revision);
    notePeerAnswer(peer, now);
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
    applyBatch(changes.batch);
    applyPendingChanges();
    applyDueDeletions();
}

void StoreMirror::applyPendingChanges()
{
    while (!m_pendingChanges.empty() && m_pendingChanges.begin()->first <= m_revision) {
        const Changes next = std::move(m_pendingChanges.extract(m_pendingChanges.begin()).mapped());
        applyBatch(next.batch);
    }
}

/// Applies the changes that are later than the copy. Others are a part of it: applied again, an earlier one would bring
/// an entry back that was deleted since.
void StoreMirror::applyBatch(const StoreWatchBatch& batch)
{
    const std::int64_t known = m_revision;
    for (const StoreEvent& event : batch.events) {
        if (event.entry.modRevision > known)
            applyEvent(event);
    }
    setRevision(std::max(known, batch.revision));
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

/// @return whether a peer has had a later revision for longer than its changes may take to arrive
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
            m_deferredDeletions.insert(key);
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

/// Applies the deferred deletions once the store has answered, this instance or a peer, after the end of the grace
/// time: the entries are still missing then.
void StoreMirror::applyDueDeletions()
{
    if (m_lastAnswer < m_deferDeletionsUntil)
        return;
    for (const std::string& key : std::exchange(m_deferredDeletions, {}))
        applyEvent({ { key, {}, m_revision }, true });
}

void StoreMirror::noteStoreLost(const absl::Status& status)
{
    if (!m_isStoreReachable)
        return;
    m_isStoreReachable = false;
    const auto now = std::chrono::steady_clock::now();
    // A broken connection is noticed immediately, a silent store only after the timeout of the call.
    m_storeLostAt = absl::IsDeadlineExceeded(status) ? m_lastAnswer : now;
    m_peerLastAnswer.reset();
    relay::DecisionLog::state("store_lost",
        { { "silent_ms", age().count() }, { "revision", m_revision }, { "error", std::string(status.message()) } });
}

void StoreMirror::noteStoreAnswer()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_isStoreReachable && m_isComplete) {
        noteReturn(now, m_peerLastAnswer ? MaxPeerGap : MinOutage);
        relay::DecisionLog::state("store_regained",
            { { "silent_ms", age().count() }, { "revision", m_revision },
                { "grace_ms", progress().lapseGrace.count() } });
    }
    m_isStoreReachable = true;
    m_lastAnswer = now;
}

} // namespace crocusmount
