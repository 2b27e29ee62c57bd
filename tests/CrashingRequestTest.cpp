#include "tests/CrashFleet.h"
#include "tests/Tests.h"

#include <functional>
#include <optional>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Maximum time from the third crash of a request until no instance sends the request to an engine any more.
constexpr Duration MaxDetectionTime = seconds(3);
/// Maximum number of attempts that may still be sent after that time, for retries under way.
constexpr std::size_t MaxLateAttempts = 3;
/// Number of different crashing requests that callers send.
constexpr std::uint8_t CrashingRequests = 3;

/// Sends harmless requests, and now and then a crashing one, to random instances.
/// @param until    simulated time to run, from the start of the fleet
/// @param disturb  called in each step with the time since the start
void simulateCallers(CrashFleet& fleet, Duration until, const std::function<void(Duration)>& disturb = {})
{
    Duration nextHarmless = milliseconds(0);
    Duration nextCrashing = seconds(2);
    std::uint8_t number = 0;
    while (fleet.elapsed() < until) {
        const Duration now = fleet.elapsed();
        if (now >= nextHarmless) {
            fleet.sendHarmless(fleet.random() % fleet.instances());
            nextHarmless = now + milliseconds(20);
        }
        if (now >= nextCrashing) {
            fleet.sendCrashing(fleet.random() % fleet.instances(), number);
            number = static_cast<std::uint8_t>((number + 1) % CrashingRequests);
            nextCrashing = now + milliseconds(700);
        }
        if (disturb)
            disturb(now);
        fleet.runUntil(now + milliseconds(5));
    }
}

} // namespace

TEST_GROUP(CrashingRequest) {};

// Guards against a crashing request that is passed on to one server after another. Callers repeated such a request at
// different instances, and no instance kept any record of a call after answering it. After 76 s, 22 of 38 servers had
// crashed, and a third of all streams went unanswered, because each crash also ended the other streams of its server.
TEST(CrashingRequest, IsSoonSentToNoServer)
{
    CrashFleet fleet({});
    simulateCallers(fleet, seconds(30));
    for (std::uint8_t number = 0; number < CrashingRequests; ++number) {
        CHECK_TRUE(fleet.crashingTally(number).sent >= 10);
        CHECK_TRUE(fleet.crashingTally(number).crashTimes.size() >= 3);
        CHECK_TRUE(fleet.attemptsAfterCrash(number, 3, MaxDetectionTime) <= MaxLateAttempts);
    }
}

// Guards against crashing requests that are not detected while the fleet has other failures, and against harmless
// requests that are blamed for these failures and refused permanently.
TEST(CrashingRequest, IsDetectedDuringOtherFailures)
{
    using Disturb = std::function<void(CrashFleet&, Duration)>;
    const auto every = [](Duration now, Duration interval) { return now.count() % interval.count() == 0; };
    const struct {
        const char* name;
        CrashFleet::Options options;
        Disturb disturb;
    } cases[] = {
        { "datagrams are lost", { .messageLossRate = 0.3 }, {} },
        { "a single instance", { .instances = 1 }, {} },
        { "many instances", { .instances = 40 }, {} },
        { "few engines", { .enginesPerHalf = 3 }, {} },
        { "few engines, many instances", { .instances = 40, .enginesPerHalf = 3 }, {} },
        { "two engines for each half of the layers", { .enginesPerHalf = 2, .restartDelay = milliseconds(1000) }, {} },
        { "engines that crash fall silent without a reset", { .crashResetsConnections = false }, {} },
        { "groups of engines crash at one time", {},
            [&](CrashFleet& fleet, Duration now) {
                if (every(now, seconds(7)))
                    fleet.crashEngines(4, every(now, seconds(14)));
            } },
        { "an instance receives no messages for some time", {},
            [&](CrashFleet& fleet, Duration now) {
                if (every(now, seconds(9)))
                    fleet.isolate(fleet.random() % fleet.instances(), now + seconds(2));
            } },
        { "instances restart in turn", {},
            [&](CrashFleet& fleet, Duration now) {
                if (every(now, seconds(2)))
                    fleet.restart(static_cast<std::size_t>(now / seconds(2)) % fleet.instances());
            } },
        { "all instances restart at one time", {},
            [&](CrashFleet& fleet, Duration now) {
                for (std::size_t i = 0; i < fleet.instances() && now == seconds(12); ++i)
                    fleet.restart(i);
            } },
    };
    for (const auto& each : cases) {
        CrashFleet fleet(each.options);
        simulateCallers(fleet, seconds(30), [&](Duration now) {
            if (each.disturb)
                each.disturb(fleet, now);
        });
        for (std::uint8_t number = 0; number < CrashingRequests; ++number) {
            CHECK_TRUE_TEXT(fleet.crashingTally(number).crashTimes.size() >= 3, each.name);
            CHECK_TRUE_TEXT(fleet.attemptsAfterCrash(number, 3, MaxDetectionTime) <= MaxLateAttempts, each.name);
        }
        CHECK_EQUAL_TEXT(0U, fleet.harmlessTally().refusedPermanently, each.name);
    }
}

// Guards against crashing requests that keep ending the streams of harmless requests after they have been detected.
TEST(CrashingRequest, EndsNoHarmlessStreamOnceItIsDetected)
{
    constexpr Duration ArrivalGap = milliseconds(20);
    constexpr Duration RestartTime = seconds(3);
    const struct {
        const char* name;
        Duration begin;
        std::uint64_t callsPerCrashing; ///< one of this many calls is a crashing request, on average
    } cases[] = { { "few, early", seconds(1), 33 }, { "few, late", seconds(8), 33 }, { "many", seconds(3), 10 } };
    for (const auto& each : cases) {
        CrashFleet fleet({});
        std::uint64_t failedBeforeDetection = 0;
        std::optional<Duration> detectableAt; ///< when each of the crashing requests had crashed three engines
        while (fleet.elapsed() < each.begin + seconds(30)) {
            const Duration now = fleet.elapsed();
            bool isDetectable = true;
            for (std::uint8_t number = 0; number < CrashingRequests; ++number)
                isDetectable = isDetectable && fleet.crashingTally(number).crashTimes.size() >= 3;
            if (isDetectable && !detectableAt)
                detectableAt = now;
            const std::size_t instance = fleet.random() % fleet.instances();
            if (now >= each.begin && fleet.random() % each.callsPerCrashing == 0)
                fleet.sendCrashing(instance, static_cast<std::uint8_t>(fleet.random() % CrashingRequests));
            else
                fleet.sendHarmless(instance);
            if (!detectableAt || now < *detectableAt + RestartTime + MaxDetectionTime)
                failedBeforeDetection = fleet.harmlessTally().failed;
            fleet.runUntil(now + ArrivalGap);
        }
        CHECK_TRUE_TEXT(detectableAt && *detectableAt < each.begin + seconds(20), each.name);
        CHECK_EQUAL_TEXT(failedBeforeDetection, fleet.harmlessTally().failed, each.name);
        CHECK_EQUAL_TEXT(0U, fleet.harmlessTally().refusedPermanently, each.name);
        CHECK_TRUE_TEXT(fleet.harmlessTally().completed > 1000, each.name);
    }
}

// Guards against harmless requests that are quarantined because engines crash, in groups or one at a time, for reasons
// other than a request.
TEST(CrashingRequest, NoHarmlessRequestIsQuarantinedForTheLossOfEngines)
{
    const struct {
        const char* name;
        std::size_t count;
        Duration interval;
        Duration spacing = milliseconds(0); ///< between the crashes of one group; 0: all at one time
    } cases[]
        = { { "one engine at a time", 1, milliseconds(900) }, { "three engines at a time", 3, milliseconds(2500) },
              { "half of the engines of one half of the layers", 4, seconds(4) },
              { "nearly all engines of one half of the layers", 7, seconds(6) },
              { "half of the engines of one half of the layers, 60 ms apart", 4, seconds(4), milliseconds(60) },
              { "nearly all engines of one half of the layers, 140 ms apart", 7, seconds(6), milliseconds(140) } };
    const CrashFleet::Options optionSets[] = { {}, { .crashCause = CrashFleet::CrashCause::PromptPart, .subjects = 40 },
        { .crashCause = CrashFleet::CrashCause::PromptPart, .subjects = 4 },
        { .crashCause = CrashFleet::CrashCause::PromptPart, .subjects = 4, .workspaces = 10 } };
    for (std::size_t run = 0; run < std::size(cases) * std::size(optionSets); ++run) {
        const auto& each = cases[run / std::size(optionSets)];
        CrashFleet fleet(optionSets[run % std::size(optionSets)]);
        Duration nextCrash = seconds(2);
        bool isFirstHalf = true;
        std::size_t crashedCount = 0; ///< crashed engines of the current group
        while (fleet.elapsed() < seconds(60)) {
            const Duration now = fleet.elapsed();
            for (int i = 0; i < 2; ++i)
                fleet.sendHarmless(fleet.random() % fleet.instances());
            if (now >= nextCrash) {
                crashedCount = each.spacing.count() ? crashedCount + 1 : each.count;
                fleet.crashEngines(crashedCount, isFirstHalf);
                const bool isGroupComplete = crashedCount == each.count;
                nextCrash = now + (isGroupComplete ? each.interval : each.spacing);
                if (isGroupComplete) {
                    crashedCount = 0;
                    isFirstHalf = !isFirstHalf;
                }
            }
            fleet.runUntil(now + milliseconds(20));
        }
        CHECK_TRUE_TEXT(fleet.harmlessTally().completed > 1000, each.name);
        CHECK_EQUAL_TEXT(0U, fleet.harmlessTally().refusedPermanently, each.name);
    }
}

// Guards against a popular request that is quarantined because it is just beginning to run on all servers of a plain
// service when these end together.
TEST(CrashingRequest, APopularRequestIsNotQuarantinedWhenAllServersOfAServiceEnd)
{
    RelayHarness harness;
    std::uint64_t nextId = 1000;
    const auto callPopular = [&] {
        CallSpec spec;
        spec.host = "h.example";
        spec.path = "/look/1";
        spec.key = "key";
        spec.content.bytes[0] = 9;
        harness.send(relay::event::CallArrived { RequestId(nextId++), spec });
        return harness.last<relay::effect::StartAttempt>();
    };
    harness.send(relay::event::ServerRegistered { RelayHarness::plain("z") });
    const auto served = callPopular();
    CHECK_TRUE(served.has_value());
    harness.send(relay::event::AttemptSent { served->attempt });
    harness.send(relay::event::AttemptEnded { served->attempt, AttemptResult::Completed, 200, "" });
    std::vector<relay::effect::StartAttempt> running;
    for (int i = 0; i < 6; ++i) {
        running.push_back(*callPopular());
        harness.send(relay::event::AttemptSent { running.back().attempt });
    }
    for (const auto& each : running) {
        RegisteredServer successor = RelayHarness::plain("x");
        successor.id = BackendId("next " + each.server.value());
        successor.address = each.address;
        harness.send(relay::event::ServerRegistered { successor });
    }
    harness.tick(milliseconds(1000));
    CHECK_TRUE(callPopular().has_value());
    CHECK_EQUAL(0U, harness.reducer().counters().quarantined);
}
