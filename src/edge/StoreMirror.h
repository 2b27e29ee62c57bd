#pragma once

#include "shell/StoreClient.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusmount {

class StoreCopySource;

/// Maintains a local copy of the platform's store and reports each change to it.
///
/// The copy has three sources:
/// - A watch over all keys of the store.
/// - Changes that a peer passes on. The peer is a distributor: an instance of the data centre that watches the store
///   for the others. A copy that receives changes is "fed". It does not watch the store, and reads it only for changes
///   that it missed.
/// - The whole copy of another instance, while the store does not answer this one.
///
/// The copy does not change while no source is available.
class StoreMirror {
public:
    /// Maximum age of the store's last answer. An older copy is considered outdated.
    static constexpr std::chrono::milliseconds MaxAnswerAge { 1500 };

    using OnChange = std::function<void(const StoreEvent&)>;

    /// Revision and freshness of a copy.
    struct Progress {
        std::int64_t revision = 0;
        std::chrono::milliseconds age {}; ///< time since the store last answered
        std::chrono::milliseconds lapseGrace {}; ///< remaining time in which deletions are deferred after an outage
    };

    /// All changes after one revision, up to the revision of the batch.
    struct Changes {
        std::int64_t after = 0; ///< exclusive lower bound of the revisions
        StoreWatchBatch batch;
    };
    using OnBatch = std::function<void(const Changes&)>;
    /// Splits changes into contiguous parts: each part begins after the last revision of the preceding part. Changes of
    /// one revision stay together.
    /// @param maxBytes  maximum total size of the keys and values in one part; a single larger revision exceeds it
    /// @return at least one part
    static std::vector<Changes> split(const Changes&, std::size_t maxBytes);

    /// A whole copy as it is given to another instance.
    struct Copy {
        StoreRange range; ///< the store's entries at the revision of the range
        /// Entries that the store has deleted since, and that the giver keeps until its lapse grace ends.
        std::vector<StoreEntry> deferred {};
    };

    /// What another instance says of its copy.
    struct PeerCopy {
        Progress progress;
        std::optional<Copy> newer; ///< nothing if the copy is not newer than the receiver's
    };

    StoreMirror(net::io_context&, StoreClient&, OnChange);

    /// Starts to maintain the copy; runs until the context stops.
    void start();

    /// Sets the callback for non-empty batches that the store's watch returns. Changes from peers do not reach it.
    /// @param onBatch  called after the batch was applied and before the next watch
    void setOnBatch(OnBatch onBatch) { m_onBatch = std::move(onBatch); }
    /// Takes note of the progress of a peer's copy. While this information is recent, the copy does not watch the
    /// store, unless the peer is ahead.
    void notePeerProgress(const Progress&);
    /// Applies changes that a peer passes on. A limited number of out-of-order changes is buffered until the preceding
    /// ones arrive. Changes that remain missing are read from the store.
    void applyPeerChanges(const Changes&);
    /// Sets the order in which the instances of a data centre start to watch the store when no copy is fed. Each
    /// instance leaves the ones before it time to watch the store and to pass on its changes. If all asked at the same
    /// time, a slow or unreachable store would receive one call a second from each of hundreds of instances.
    /// @param rank  number of instances of the data centre that precede this one
    void setWatchRank(std::size_t rank) { m_watchRank = rank; }
    /// @return whether this copy watches the store and passes its changes on to the other instances of the data centre;
    ///         only the instances with the lowest ranks do
    bool distributesChanges() const;
    /// @return whether a peer currently keeps this copy up to date
    bool isFed() const
    {
        return m_isFeedAllowed && m_wasEverFed && std::chrono::steady_clock::now() < m_feedValidUntil;
    }
    /// Makes the copy always watch the store and ignore changes and copies from peers.
    void disablePeerFeed() { m_isFeedAllowed = false; }
    Progress progress() const;
    /// Sets the source of peers' copies, which this mirror uses while the store does not answer.
    /// @param source  must outlive this mirror
    void setCopySource(StoreCopySource& source) { m_copySource = &source; }
    /// @return the entries of the store as of this copy's revision, and those whose deletion is deferred
    Copy copy() const;
    /// @return whether the copy is complete and fresh enough to be given to other instances
    bool isCurrent() const;

    /// @return whether a peer has a later revision, or the store's last known answer is older than MaxAnswerAge
    bool isOutdated() const { return m_peerRevision > m_revision || age() > MaxAnswerAge; }
    /// @return whether the store has been read completely at least once, directly or from a peer's copy
    bool isComplete() const { return m_isComplete; }
    /// @return whether the last call to the store was answered
    bool isStoreReachable() const { return m_isStoreReachable; }
    /// @return time since the store last answered this instance, or a peer whose copy is not ahead of this one
    std::chrono::milliseconds age() const;
    std::int64_t revision() const { return m_revision; }

private:
    struct CachedEntry {
        std::int64_t revision = 0; ///< of the last change to the entry
        std::size_t size = 0; ///< of the value in bytes, also if the value is omitted
        std::string value; ///< empty if omitted
        bool isValueOmitted = false; ///< the copy had reached its size limit when the value arrived
    };

    Awaitable<void> watchLoop();
    Awaitable<void> catchUpLoop();
    Awaitable<void> peerCopyLoop();
    Awaitable<void> fetchPeerCopy();
    Awaitable<absl::Status> readAll();
    Awaitable<absl::Status> watchOnce();
    bool replaceWith(const StoreRange&);
    void cacheEntry(const StoreEntry&);
    void removeEntry(std::map<std::string, CachedEntry>::iterator);
    void applyEvent(const StoreEvent&);
    void applyBatch(const StoreWatchBatch&);
    void applyPeerCopy(const Copy&);
    void applyPendingChanges();
    void setRevision(std::int64_t revision);
    void noteStoreLost(const absl::Status&);
    void noteStoreAnswer();
    void noteReturn(std::chrono::steady_clock::time_point answeredAt, std::chrono::milliseconds maxSilence);
    void applyDueDeletions();
    void adoptGrace(const Progress&, std::chrono::steady_clock::time_point reportedAt);
    void notePeerAnswer(const Progress&, std::chrono::steady_clock::time_point reportedAt);
    bool isBehindPeer() const;
    bool shouldWatch() const;
    std::chrono::milliseconds watchDelay() const;
    std::chrono::milliseconds maxRetryPause() const;
    Awaitable<void> pauseUnlessBehindPeer(std::chrono::milliseconds);
    bool needsPeerCopy() const;

    net::io_context& m_context;
    StoreClient& m_store;
    OnChange m_onChange;
    OnBatch m_onBatch;
    StoreCopySource* m_copySource = nullptr;
    std::map<std::string, CachedEntry> m_entries; ///< by key; all entries that were reported and not deleted since
    std::size_t m_valueBytes = 0; ///< total size of the values, including omitted ones
    std::size_t m_omittedValues = 0; ///< number of omitted values; above 0, the copy must not be given to others
    std::set<std::string> m_deferredDeletions; ///< keys of entries that the store has deleted, kept for a grace time
    std::chrono::steady_clock::time_point m_lastAnswer; ///< of the store, see age()
    std::chrono::steady_clock::time_point m_storeLostAt; ///< when the store stopped answering; at first, the start
    /// Latest known answer of the store to a peer since m_storeLostAt; nothing if none is known.
    std::optional<std::chrono::steady_clock::time_point> m_peerLastAnswer;
    std::chrono::steady_clock::time_point m_deferDeletionsUntil; ///< end of the grace time
    /// Until then this copy does not watch the store, unless a peer is ahead. Extended by peers' progress, and set once
    /// at the start to delay the first watch.
    std::chrono::steady_clock::time_point m_feedValidUntil;
    std::chrono::steady_clock::time_point m_peerProgressValidUntil;
    std::chrono::steady_clock::time_point m_behindPeerSince; ///< meaningful while m_peerRevision exceeds m_revision
    std::chrono::steady_clock::time_point m_advancedAt; ///< when the revision last increased
    std::optional<std::chrono::steady_clock::time_point> m_watchStartedAt; ///< start of the watch in flight
    std::map<std::int64_t, Changes> m_pendingChanges; ///< out-of-order changes by preceding revision
    std::size_t m_watchRank = 0; ///< number of instances of the data centre that precede this one
    bool m_isWatching = false; ///< watches the store, or retries to while the store does not answer
    std::int64_t m_peerRevision = 0; ///< highest revision that a peer reported
    std::int64_t m_revision = 0;
    bool m_isFeedAllowed = true;
    bool m_wasEverFed = false; ///< a peer has reported a recent answer of the store at least once
    bool m_isComplete = false;
    bool m_isStoreReachable = false;
    /// All entries must be read: before the first read, when the store no longer has the changes after m_revision, and
    /// when there is room for omitted values again.
    bool m_needsFullRead = true;
};

} // namespace crocusmount
