#pragma once

#include "shell/StoreClient.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusmount {

class StoreCopySource;

/// Keeps a copy of the platform's store up to date with one watch over all of its keys, and reports each change. While
/// the store is away the copy stands still. While another instance passes its changes on, the copy is kept up to date
/// from these, and asks the store only for what it missed. Where the store does not answer this instance, the copy of
/// another one is taken over.
class StoreMirror {
public:
    /// Maximum age of the store's last answer before the copy is considered outdated.
    static constexpr std::chrono::milliseconds MaxAnswerAge { 1500 };

    using OnChange = std::function<void(const StoreEvent&)>;

    /// How far a copy is.
    struct Progress {
        std::int64_t revision = 0;
        std::chrono::milliseconds age {}; ///< since the store last answered
        std::chrono::milliseconds lapseGrace {}; ///< for so long deletions are still held back after an outage
    };

    /// All changes after one revision.
    struct Changes {
        std::int64_t after = 0;
        StoreWatchBatch batch;
    };
    using OnBatch = std::function<void(const Changes&)>;
    /// Splits changes into parts that join on to each other. Changes of one revision stay together.
    /// @param bytes  most of keys and values in one part, where a single revision is not larger
    static std::vector<Changes> split(const Changes&, std::size_t bytes);

    /// All of a copy, with how far it is.
    struct Copy {
        Progress progress;
        StoreRange range;
    };

    StoreMirror(net::io_context&, StoreClient&, OnChange);

    /// Begins to follow; runs until the context stops.
    void start();

    /// Passes on each batch that the store answers a watch with. @param onBatch  called before the next watch
    void setOnBatch(OnBatch onBatch) { m_onBatch = std::move(onBatch); }
    /// Takes in how far another instance's copy is. While such word is fresh, this copy does not watch the store.
    void peerIsAt(const Progress&);
    /// Applies changes that another instance passes on. A limited number of out-of-order changes is buffered until the
    /// preceding ones arrive; changes that remain missing are read from the store.
    void takeFromPeer(const Changes&);
    /// Sets how many instances of the data centre come before this one where no copy is fed. Each waits for the ones
    /// before it to follow the store and to pass on what it says: were all to ask at once, a store that is slow or away
    /// got a call a second from each of hundreds.
    void setTurn(std::size_t turn) { m_turn = turn; }
    /// @return whether the others of the data centre may rely on this copy: it follows the store by itself, and few
    ///         instances come before this one
    bool leads() const;
    /// @return whether another instance keeps this copy up to date
    bool isFed() const { return m_mayBeFed && m_peerSpoke && std::chrono::steady_clock::now() < m_fedUntil; }
    /// Has the copy always follow the store itself.
    void refuseFeed() { m_mayBeFed = false; }
    Progress progress() const;
    /// Has the copy follow other instances' copies while the store does not answer.
    /// @param source  must outlive this
    void setCopySource(StoreCopySource& source) { m_copySource = &source; }
    /// @return all that this copy holds; what was deleted and is held back is still in it
    Copy copy() const;
    /// @return whether the copy is complete and as fresh as others may rely on
    bool isCurrent() const;

    /// @return whether a peer has a later revision, or the store's last known answer is older than MaxAnswerAge
    bool isOutdated() const { return m_peerRevision > m_revision || age() > MaxAnswerAge; }
    /// @return whether the copy has ever been complete
    bool isComplete() const { return m_complete; }
    /// @return whether the last call to the store was answered
    bool inContact() const { return m_inContact; }
    /// @return time since the store last answered
    std::chrono::milliseconds age() const;
    std::int64_t revision() const { return m_revision; }

private:
    struct Held {
        std::int64_t revision = 0;
        std::size_t size = 0;
        std::string value; ///< empty where it is left out
        bool isLeftOut = false; ///< the copy had grown too large for it
    };

    Awaitable<void> followLoop();
    Awaitable<void> catchUpLoop();
    Awaitable<void> askPeersLoop();
    Awaitable<void> askPeers();
    Awaitable<absl::Status> readAll();
    Awaitable<absl::Status> watchOnce();
    void replaceBy(const StoreRange&);
    void hold(const StoreEntry&);
    void letGo(std::map<std::string, Held>::iterator);
    void take(const StoreEvent&);
    void apply(const Changes&);
    void applyPendingChanges();
    void setRevision(std::int64_t revision);
    void lostContact(const absl::Status&);
    void regainedContact();
    void reportLapsed();
    bool isBehindPeer() const;
    bool isOurTurn() const;
    std::chrono::milliseconds waitForTurn() const;
    std::chrono::milliseconds longestPause() const;
    Awaitable<void> waitUnlessBehind(std::chrono::milliseconds);
    bool needsPeersCopy() const;

    net::io_context& m_context;
    StoreClient& m_store;
    OnChange m_onChange;
    OnBatch m_onBatch;
    StoreCopySource* m_copySource = nullptr;
    std::map<std::string, Held> m_held; ///< by key, all that was reported and not deleted since
    std::size_t m_heldBytes = 0; ///< of their values, also of those left out
    std::size_t m_leftOut = 0; ///< values that are left out: others must not take the copy for a whole one
    std::map<std::string, std::chrono::steady_clock::time_point> m_lapsed; ///< deletions held back, with their time
    std::chrono::steady_clock::time_point m_lastAnswer;
    std::chrono::steady_clock::time_point m_peerAnswered; ///< when the store last answered a peer, as far as it told
    std::chrono::steady_clock::time_point m_lostSince;
    std::chrono::steady_clock::time_point m_trustDeletionsFrom;
    std::chrono::steady_clock::time_point m_fedUntil;
    std::chrono::steady_clock::time_point m_peerHeardUntil;
    std::chrono::steady_clock::time_point m_behindSince; ///< of the peer's revision, where it is higher
    std::chrono::steady_clock::time_point m_advancedAt; ///< when the revision last increased
    std::optional<std::chrono::steady_clock::time_point> m_watchSince; ///< of the watch in flight
    std::map<std::int64_t, Changes> m_pendingChanges; ///< out-of-order changes by preceding revision
    std::size_t m_turn = 0; ///< instances that come before this one
    bool m_follows = false; ///< watches the store by itself, or would if it answered
    std::int64_t m_peerRevision = 0;
    std::int64_t m_revision = 0;
    bool m_mayBeFed = true;
    bool m_peerSpoke = false; ///< another instance has ever kept this copy up to date
    bool m_complete = false;
    bool m_inContact = false;
    bool m_stale = true; ///< the history after m_revision is lost: all must be read
};

} // namespace crocusmount
