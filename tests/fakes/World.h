#pragma once

#include "crocusmount/Reducer.h"
#include "tests/fakes/FakeEngine.h"
#include "tests/fakes/FakeStore.h"
#include "tests/fakes/VirtualClock.h"

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace crocusmount {

/// What a caller saw of one request.
struct CallerView {
    std::size_t entry = 0; ///< index of the entry instance that got the request
    RequestSpec spec;
    std::string prompt;
    TimePoint sent;
    TimePoint firstToken;
    TimePoint lastToken;
    Duration longestGap {}; ///< longest time between two consecutive tokens
    std::uint32_t tokens = 0;
    bool completed = false;
    bool failed = false;
    bool cut = false; ///< the entry instance died, so no answer can arrive
    bool left = false; ///< the caller disconnected and ignores every later token and answer
    Reason reason = Reason::BackendError;
    RunState run = RunState::Completed;
    TimePoint ended;

    /// @return whether the caller expects nothing more
    bool done() const { return completed || failed || cut || left; }
};

/// Simulates several entry instances, each with its own reducer, a fake store and fake engines on one virtual clock. An
/// oracle checks every token and answer that callers get. The same seed and calls give the same run on every host.
class World {
public:
    struct Options {
        std::uint64_t seed = 1;
        std::uint32_t dataCentres = 3;
        std::uint32_t entries = 3;
        ReducerOptions core; ///< options of every reducer; World sets `self` for each
        /// One-way latency to engines and to instances of other data centres; half of it within a data centre.
        Duration linkLatency = std::chrono::microseconds(300);
        Duration tick = std::chrono::milliseconds(10); ///< interval between two event::Tick
        Duration reportLag = std::chrono::milliseconds(200); ///< from an engine's report to its arrival
        double peerLoss = 0; ///< share of peer messages that are lost, 0 to 1
        std::function<std::size_t(const PeerMessage&)> sizeOf; ///< bytes of a message on the wire; unset: not counted
        bool checkForce = true; ///< check that each accepted configuration takes effect in time
    };

    explicit World(Options);
    ~World();

    // ---- Setup.
    /// Adds an engine and its object in the configuration.
    /// @param stepMicros duration of one step, in microseconds
    /// @return the engine's index for engine()
    std::size_t addEngine(const std::string& id, const std::string& model, LayerRange, std::uint32_t slots,
        std::int64_t stepMicros, const Labels& labels = {});
    /// Adds an object to the configuration that start() writes.
    void addObject(const std::string& key, const std::string& json);
    /// Writes the objects added so far and starts the entry instances.
    void start();

    // ---- Actions of callers.
    /// Sends a request to an entry instance.
    /// @return the index of the request in requests()
    std::size_t send(std::size_t entry, RequestSpec);
    /// The caller of a request disconnects.
    void leave(std::size_t request);
    const std::vector<std::unique_ptr<CallerView>>& requests() const { return m_requests; }

    // ---- Actions of operators.
    /// Two operators write an object with the same base revision; at most one write may be accepted.
    void raceOperators(const std::string& key, const std::string& first, const std::string& second);
    /// @return whether the write was accepted
    bool writeObject(const std::string& key, const std::string& json);

    // ---- Faults.
    FakeStore& store() { return m_store; }
    FakeEngine& engine(std::size_t index) { return *m_engines[index]; }
    std::size_t engineCount() const { return m_engines.size(); }
    void killEntry(std::size_t);
    /// Kills the entry instance if it is alive and starts its successor.
    void restartEntry(std::size_t);
    /// Events that reach the paused entry instance are processed when the pause ends.
    void pauseEntry(std::size_t, Duration);
    void drainEntry(std::size_t);
    /// For a span, loses the messages between an entry instance and its peers, and its reads of the configuration from
    /// the store. Claims are still read and written.
    void cutPeers(std::size_t entry, Duration);
    bool entryAlive(std::size_t entry) const { return m_entries[entry]->alive; }
    std::size_t entryCount() const { return m_entries.size(); }
    Reducer& reducer(std::size_t entry) { return *m_entries[entry]->reducer; }

    void advance(Duration);
    TimePoint now() const { return m_clock.now(); }
    const VirtualClock& clock() const { return m_clock; }
    std::uint64_t random() { return m_random(); }

    /// @return a description of the first violated promise, or an empty text
    const std::string& violation() const { return m_violation; }
    /// Checks that every request has ended for its caller and in its reducer. Call it after the clock has passed the
    /// last deadline.
    void checkSettled();

    std::uint64_t peerBytes() const { return m_peerBytes; }
    std::uint64_t peerMessages() const { return m_peerMessages; }
    /// @return one duration for each accepted revision and entry instance: from acceptance until it was in force there.
    /// A restarted instance adds them once more.
    const std::vector<Duration>& forceTimes() const { return m_forceTimes; }
    void forgetForceTimes() { m_forceTimes.clear(); }
    /// @return number of live entry instances that watch the store themselves
    std::size_t followers() const;
    /// @return bytes of keys and values that entry instances sent to peers which fetched the configuration
    std::uint64_t configurationBytes() const { return m_configurationBytes; }
    std::uint64_t tokensMade() const { return m_tokensMade; }
    Counters counters() const; ///< summed over all entry instances; of dead ones only the counters in m_buried

private:
    /// One entry instance and its successors after restarts.
    struct Entry {
        std::unique_ptr<Reducer> reducer;
        ReducerOptions options;
        std::uint64_t incarnation = 0;
        bool alive = false;
        TimePoint pausedUntil;
        TimePoint cutUntil; ///< end of the latest cutPeers()
        TimePoint connectedSince; ///< time of the latest start, or end of the latest pause or cut
        bool following = false; ///< it watches the store itself
        bool draining = false;
        std::vector<EventBody> held; ///< events that arrived during the pause
        std::map<RequestId, std::size_t> requests; ///< index in m_requests
        std::uint64_t nextRequest = 1;
        Revision seen; ///< revision of the configuration after the latest event
    };
    /// One attempt that an entry instance has started at the engines of a chain.
    struct Attempt {
        std::size_t entry = 0;
        std::uint64_t incarnation = 0;
        effect::StartAttempt start;
        std::vector<std::size_t> engines; ///< indexes of the engines, in order of the chain
        std::uint32_t next = 0; ///< index of the next token
        std::string work; ///< key in m_onceRuns; empty if the request may run more than once
        bool over = false;
    };
    /// A configuration that the store has accepted.
    struct Accepted {
        Revision revision;
        TimePoint at;
    };

    /// Feeds an event to the entry instance, or holds it during a pause. Dropped if the instance is dead.
    void post(std::size_t entry, EventBody);
    /// Lets the reducer process an event and runs the effects.
    void feed(std::size_t entry, EventBody);
    void startEntry(std::size_t);
    void tickEntry(std::size_t entry, std::uint64_t incarnation);
    void run(std::size_t, const effect::StartAttempt&);
    void run(std::size_t, const effect::CancelAttempt&);
    void run(std::size_t, const effect::DeliverToken&);
    void run(std::size_t, const effect::CompleteAnswer&);
    void run(std::size_t, const effect::FailAnswer&);
    void run(std::size_t, const effect::ReadClaims&);
    void run(std::size_t, const effect::AppendClaims&);
    void run(std::size_t, const effect::ProbeBackend&);
    void run(std::size_t, const effect::SendPeerMessage&);
    void run(std::size_t, const effect::FetchConfiguration&);
    void run(std::size_t, const effect::FollowStore&);
    void run(std::size_t, const effect::DrainFinished&);

    /// Reserves the engines of the chain and begins the first step, or refuses the attempt.
    void prepare(const std::shared_ptr<Attempt>&);
    /// Runs one step at the hop's engine, then the next hop or the token.
    void step(const std::shared_ptr<Attempt>&, std::size_t hop);
    void emitToken(const std::shared_ptr<Attempt>&);
    void endAttempt(const std::shared_ptr<Attempt>&, EventBody);
    void close(const std::shared_ptr<Attempt>&);
    /// Delivers an event after the link latency, unless the entry instance has been restarted by then.
    void toEntry(const Attempt&, EventBody);
    FakeEngine* find(const BackendId&, std::size_t* index = nullptr);
    CallerView* viewOf(std::size_t entry, RequestId);
    void checkRevision(std::size_t entry);
    void checkForce();
    void readConfiguration(std::size_t entry);
    void accept(Revision);
    void violate(const std::string&);
    Duration between(std::size_t a, std::size_t b) const;
    std::size_t entryByPeerAddress(const std::string&) const;

    Options m_options;
    VirtualClock m_clock;
    FakeStore m_store;
    pcg64 m_random;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::map<BackendId, std::size_t> m_engineIndex;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<CallerView>> m_requests;
    std::map<std::tuple<std::size_t, std::uint64_t, AttemptId>, std::shared_ptr<Attempt>> m_attempts;
    std::map<std::string, std::uint64_t> m_ledger; ///< number of attempts begun at engines, by prompt
    std::map<std::string, std::uint64_t>
        m_onceRuns; ///< number of runs of each request that must run once, by Attempt::work
    std::vector<ConfigurationEntry> m_initial;
    std::vector<Accepted> m_accepted;
    Counters m_buried; ///< of entry instances that died: claims, attempts and tokens only
    std::uint64_t m_peerBytes = 0;
    std::uint64_t m_peerMessages = 0;
    std::uint64_t m_tokensMade = 0;
    std::uint64_t m_configurationBytes = 0;
    std::vector<Duration> m_forceTimes;
    std::string m_violation;
};

} // namespace crocusmount
