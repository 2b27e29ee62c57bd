#pragma once

#include "relay/RelayReducer.h"
#include "tests/RelayHarness.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Several relay reducers before the same engines, on a virtual clock. An engine runs sound streams to their end and
/// crashes soon after it begins a request that crashes servers; it is back seconds later, under a new id at its
/// address.
class CrashFleet {
public:
    struct Options {
        std::size_t instances = 6;
        std::size_t enginesPerHalf = 8; ///< as many hold the first half of the layers, and as many the second
        double lostMessages = 0; ///< part of what instances tell each other
        Duration downFor = std::chrono::milliseconds(3000);
        /// An engine's crash is seen as a reset by its callers, or only as silence.
        bool resets = true;
    };

    /// What became of the requests of one kind.
    struct Tally {
        std::uint64_t sent = 0;
        std::uint64_t completed = 0;
        std::uint64_t refusedForGood = 0; ///< answered "not run, do not come back"
        std::uint64_t failed = 0; ///< otherwise not answered in full
        std::vector<TimePoint> reached; ///< when it was sent to engines
        std::vector<TimePoint> crashes;
    };

    explicit CrashFleet(Options);

    /// Runs until a time from the start.
    void runUntil(Duration);
    /// Has a sound stream arrive, one of its kind.
    void sendSound(std::size_t instance);
    /// Has a request that crashes servers arrive. @param which  its content; the same for each repeat
    void sendCrashing(std::size_t instance, std::uint8_t which);
    /// Ends engines in one moment. @param first  half of the layers that they hold
    void crashGroup(std::size_t count, bool first);
    /// An instance loses all that it knows and starts again.
    void restart(std::size_t instance);
    /// What others tell an instance is lost until then.
    void cutOff(std::size_t instance, Duration until);
    const Tally& sound() const { return m_sound; }
    const Tally& crashing(std::uint8_t which) { return m_crashing[which]; }
    /// @return how often a request reached engines later than this after it had crashed the third
    std::size_t reachedAfterThird(std::uint8_t which, Duration later);
    RelayReducer& reducer(std::size_t instance) { return *m_instances.at(instance).reducer; }
    std::size_t instances() const { return m_instances.size(); }
    Duration elapsed() const { return m_now - m_start; }
    std::uint64_t random();

private:
    struct Engine {
        RegisteredServer entry;
        bool up = true;
        bool listed = true;
        int starts = 0;
        TimePoint changesAt; ///< when it is up again
        TimePoint lapsesAt; ///< when its entry ends
    };
    struct Running {
        std::size_t instance = 0;
        RequestId call;
        Chain chain;
        int crashes = -1; ///< which crashing request it is; -1: sound
        TimePoint sentAt;
        std::optional<TimePoint> begunAt;
        std::uint64_t next = 1; ///< event
        TimePoint nextAt;
        bool silent = false;
    };
    struct Instance {
        std::unique_ptr<RelayReducer> reducer;
        TimePoint deafUntil;
        std::map<RequestId, int> open; ///< what each open call is
    };
    struct Message {
        TimePoint at;
        std::size_t instance;
        RelayEventBody body;
    };
    using RunKey = std::pair<std::size_t, AttemptId>;

    void start(std::size_t instance);
    void post(std::size_t instance, RelayEventBody);
    void later(Duration, std::size_t instance, RelayEventBody);
    void tellOthers(std::size_t instance, const RelayEventBody&);
    void apply(std::size_t instance, const RelayEffects&);
    void on(std::size_t instance, const effect::StartAttempt&);
    void answered(std::size_t instance, RequestId, bool forGood);
    void send(std::size_t instance, int crashes);
    void crash(Engine&);
    void step();
    void stepEngines();
    void stepRuns();
    Engine* engineOf(const BackendId&);
    bool allUp(const Chain&);
    Tally& tallyOf(int crashes) { return crashes < 0 ? m_sound : m_crashing[static_cast<std::uint8_t>(crashes)]; }

    Options m_options;
    std::set<RequestIdentity> m_written; ///< verdicts in the store
    std::vector<Instance> m_instances;
    std::vector<Engine> m_engines;
    std::map<RunKey, Running> m_runs;
    std::deque<Message> m_messages;
    Tally m_sound;
    std::map<std::uint8_t, Tally> m_crashing;
    TimePoint m_start = timePoint(1000000);
    TimePoint m_now = m_start;
    TimePoint m_nextTick = m_start;
    std::uint64_t m_random = 7;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextSound = 1;
};

} // namespace crocusmount::relay
