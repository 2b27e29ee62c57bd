#pragma once

#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Simulates several instances, each with its own relay reducer, that share a set of engines on a virtual clock. An
/// engine runs the streams of harmless requests to their end. An engine that begins to run a crashing request crashes
/// soon after, and registers again seconds later with a new id at its address.
class CrashFleet {
public:
    /// What the requests that crash engines have in common.
    enum class CrashCause {
        Content, ///< repeats of one request
        PromptPart, ///< one part of their prompts; no two requests are equal
    };
    struct Options {
        std::size_t instances = 6;
        std::size_t enginesPerHalf = 8; ///< number of engines for each half of the layers
        double messageLossRate = 0; ///< share of the messages between instances that is lost, from 0 to 1
        Duration restartDelay = std::chrono::milliseconds(3000); ///< from the crash of an engine to its next start
        /// From the next start of an engine to its entry. Until then its predecessor is listed at its address.
        Duration registrationDelay {};
        /// From the crash of an engine until instances are told that their connections to it were reset.
        Duration resetDelay = std::chrono::milliseconds(5);
        /// Whether the connections to a crashed engine are reset. Otherwise callers only see that it stops answering.
        bool crashResetsConnections = true;
        /// Whether streams end with their connections, in order also when their engine crashes, between two events.
        bool streamsHaveNoLength = false;
        CrashCause crashCause = CrashCause::Content;
        /// Whether a crashing request crashes the last engine of its chain, rather than the first.
        bool crashesLastStage = false;
        /// With CrashCause::PromptPart, all requests have a common first part and one of this many second parts.
        std::size_t subjects = 40;
        std::size_t crashingPartPosition = 1; ///< index of the crashing part in the prompt
        std::size_t workspaces = 1; ///< each request comes from a random one of these
        Duration crashesFrom {}; ///< time since the start; crashing requests that begin earlier run like harmless ones
        std::uint64_t seed = 7;
    };

    /// Counts the outcomes of one kind of request.
    struct Tally {
        std::uint64_t sent = 0;
        std::uint64_t completed = 0;
        std::uint64_t refusedPermanently = 0; ///< refused as not run, without a time to retry after
        std::uint64_t completedTooEarly = 0; ///< ended as complete before the last event
        std::uint64_t failed = 0; ///< refused otherwise, broken off, or lost with the instance
        std::vector<TimePoint> attemptTimes; ///< when attempts were sent to running engines
        std::vector<TimePoint> crashTimes; ///< when the request crashed an engine
        std::vector<TimePoint> begunAtFirstAttempt; ///< when requests arrived whose first attempt began
    };

    explicit CrashFleet(Options);

    /// Runs the simulation until a time since its start.
    void runUntil(Duration);
    /// Sends a harmless request with new content to an instance.
    void sendHarmless(std::size_t instance) { send(instance, -1, randomWorkspace(), -1); }
    /// Sends a crashing request to an instance.
    /// @param number  selects the content or the part: requests of equal number have it in common
    void sendCrashing(std::size_t instance, std::uint8_t number) { send(instance, number, randomWorkspace(), number); }
    /// Sends a harmless request of the first workspace that has the part of a crashing request.
    void sendHarmlessWithPart(std::size_t instance, std::uint8_t number) { send(instance, -1, 0, number); }
    /// Sends a crashing request of the last workspace.
    void sendCrashingFromLastWorkspace(std::size_t instance, std::uint8_t number)
    {
        send(instance, number, m_options.workspaces - 1, number);
    }
    /// Crashes the first engines of one half of the layers at one time. Engines that are down already stay down.
    /// @param isFirstHalf  whether the engines hold the first half of the layers, or the second
    void crashEngines(std::size_t count, bool isFirstHalf);
    /// Restarts an instance without any of its state.
    void restart(std::size_t instance);
    /// Drops messages from other instances that would reach an instance before a time since the start.
    void isolate(std::size_t instance, Duration until);
    const Tally& harmlessTally() const { return m_harmlessTally; }
    const Tally& crashingTally(std::uint8_t number) { return m_crashingTallies[number]; }
    /// @param ordinal  number of the crash after which counting begins, 1 for the first
    /// @param delay  time after that crash at which counting begins
    /// @return the number of attempts of a crashing request that were sent to running engines after that time
    std::size_t attemptsAfterCrash(std::uint8_t number, std::size_t ordinal, Duration delay);
    /// @return the number of harmless requests that arrived within a time since the start and whose first attempt began
    std::size_t harmlessBegunAtFirstAttempt(Duration from, Duration to) const;
    RelayReducer& reducer(std::size_t instance) { return *m_instances.at(instance).reducer; }
    std::size_t instances() const { return m_instances.size(); }
    /// @return the virtual time since the start
    Duration elapsed() const { return m_now - m_start; }
    std::uint64_t random();

private:
    struct Engine {
        RegisteredServer entry; ///< as listed
        BackendId runningId; ///< of the process at the address
        bool isUp = true;
        bool isListed = true;
        int startCount = 0;
        TimePoint restartsAt; ///< when a crashed engine is up again
        TimePoint registersAt; ///< when the latest start is listed
        TimePoint entryExpiresAt; ///< when the entry of a crashed engine is removed from the registry
    };
    /// An attempt that engines are running.
    struct RunningAttempt {
        std::size_t instance = 0;
        RequestId call;
        Chain chain;
        int crashingNumber = -1; ///< number of the crashing request; -1: harmless
        bool isFirst = false; ///< no attempt at the call was made before
        TimePoint sentAt;
        std::optional<TimePoint> begunAt;
        std::uint64_t nextEvent = 1; ///< sequence number of the next event of the stream
        TimePoint nextEventAt;
        bool endsUnproven = false; ///< the stream shows no difference between its end and a crash of the first engine
        bool isSilent = false; ///< an engine of the chain crashed without resetting the connection to the instance
    };
    struct OpenCall {
        int crashingNumber = -1; ///< number of the crashing request; -1: harmless
        TimePoint arrivedAt;
        bool hasAttempt = false; ///< an attempt has been made
    };
    struct Instance {
        std::unique_ptr<RelayReducer> reducer;
        TimePoint isolatedUntil;
        std::map<RequestId, OpenCall> openCalls;
        std::set<RequestId> wholeStreams; ///< open calls whose last event was delivered
    };
    /// An event to be delivered to an instance.
    struct Message {
        TimePoint dueAt;
        std::size_t instance;
        RelayEventBody body;
    };
    using AttemptKey = std::pair<std::size_t, AttemptId>;

    void startInstance(std::size_t instance);
    void post(std::size_t instance, RelayEventBody);
    void postLater(Duration, std::size_t instance, RelayEventBody);
    /// Sends an event to all other instances.
    void broadcast(std::size_t instance, const RelayEventBody&);
    void apply(std::size_t instance, const RelayEffects&);
    void on(std::size_t instance, const effect::StartAttempt&);
    void on(std::size_t instance, const effect::CompleteAnswer&);
    /// Counts a call that ended without a complete answer.
    void recordFailure(std::size_t instance, RequestId, bool isRefusedPermanently);
    /// @param crashingNumber  number of the crashing request; -1: harmless
    /// @param partNumber  number of the crashing request whose part it has; -1: none
    void send(std::size_t instance, int crashingNumber, std::size_t workspace, int partNumber);
    std::size_t randomWorkspace() { return m_options.workspaces > 1 ? random() % m_options.workspaces : 0; }
    /// @return the configuration of all instances, with a key for each workspace
    ServiceConfiguration configuration() const;
    bool isCrashing(const RunningAttempt&) const;
    /// @return the parts of a prompt that several requests share
    std::vector<PromptPartId> promptParts(int partNumber);
    void crash(Engine&);
    void step();
    void stepEngines();
    /// Starts a crashed engine again, under a new id.
    void start(Engine&);
    /// Replaces an engine's entry by one of its latest start.
    void list(Engine&);
    void stepAttempts();
    void recordBegun(const RunningAttempt&);
    Engine* findEngine(const BackendId&);
    /// @return the engine that runs at an address; null if none does
    const Engine* findRunning(const std::string& address) const;
    bool areAllUp(const Chain&);
    Tally& tallyOf(int crashingNumber)
    {
        return crashingNumber < 0 ? m_harmlessTally : m_crashingTallies[static_cast<std::uint8_t>(crashingNumber)];
    }

    Options m_options;
    std::set<RequestTrait> m_storedVerdicts; ///< quarantined traits in the store
    std::vector<Instance> m_instances;
    std::vector<Engine> m_engines;
    std::map<AttemptKey, RunningAttempt> m_attempts;
    std::deque<Message> m_messages;
    Tally m_harmlessTally;
    std::map<std::uint8_t, Tally> m_crashingTallies; ///< by number of the crashing request
    TimePoint m_start = timePoint(1000000);
    TimePoint m_now = m_start;
    TimePoint m_nextTick = m_start;
    std::uint64_t m_randomState;
    std::uint64_t m_nextCallId = 1;
    std::uint64_t m_nextContent = 1; ///< of the requests that are not repeats
};

} // namespace crocusmount::relay
