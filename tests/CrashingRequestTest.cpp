#include "tests/CrashFleet.h"
#include "tests/Tests.h"

#include <functional>
#include <optional>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How long machines must have been calm before a promise with a bound in time holds.
constexpr Duration StableWindow = seconds(3);
/// Retries that may still be under way when the third crash is known everywhere.
constexpr std::size_t AllowedRetries = 3;
constexpr std::uint8_t Requests = 3;

/// Callers send some requests that crash servers again and again, at any instance, among sound streams.
void playDay(CrashFleet& fleet, Duration until, const std::function<void(Duration)>& disturb = {})
{
    Duration nextSound = milliseconds(0);
    Duration nextCrashing = seconds(2);
    std::uint8_t which = 0;
    while (fleet.elapsed() < until) {
        const Duration now = fleet.elapsed();
        if (now >= nextSound) {
            fleet.sendSound(fleet.random() % fleet.instances());
            nextSound = now + milliseconds(20);
        }
        if (now >= nextCrashing) {
            fleet.sendCrashing(fleet.random() % fleet.instances(), which);
            which = static_cast<std::uint8_t>((which + 1) % Requests);
            nextCrashing = now + milliseconds(700);
        }
        if (disturb)
            disturb(now);
        fleet.runUntil(now + milliseconds(5));
    }
}

} // namespace

TEST_GROUP(CrashingRequest) {};

// Callers sent a request under which each server crashed that began to run it again and again, at any instance, and
// each time it was passed on: 22 servers of 38 had ended under it after 76 s, and a third of all streams went
// unanswered, as each crash took along what else its server ran. No instance remembered anything of a call that it had
// answered.
//
//     46.3132 front-hall-a-2 "attempt" "server":"i-65f8b64305" "waited_ms":175
//     46.4979 front-hall-a-2 "attempt_failed" "result":"broken","status":200
//     47.3161 front-hall-a-2 "answer" "reason":"no_capacity","run":"may_have_run"
TEST(CrashingRequest, IsSoonSentToNoServer)
{
    CrashFleet fleet({});
    playDay(fleet, seconds(30));
    for (std::uint8_t which = 0; which < Requests; ++which) {
        CHECK_TRUE(fleet.crashing(which).sent >= 10);
        CHECK_TRUE(fleet.crashing(which).crashes.size() >= 3);
        CHECK_TRUE(fleet.reachedAfterThird(which, StableWindow) <= AllowedRetries);
    }
}

// The same with what else befalls a fleet at that time. Sound streams are not to be taken for the cause of what ends
// beside them, and those that are refused for good lose their answer.
TEST(CrashingRequest, IsFoundBesideOtherTrouble)
{
    using Disturb = std::function<void(CrashFleet&, Duration)>;
    const auto every = [](Duration now, Duration interval) { return now.count() % interval.count() == 0; };
    const struct {
        const char* name;
        CrashFleet::Options options;
        Disturb disturb;
    } cases[] = {
        { "datagrams are lost", { .lostMessages = 0.3 }, {} },
        { "one instance alone", { .instances = 1 }, {} },
        { "many instances", { .instances = 40 }, {} },
        { "few engines", { .enginesPerHalf = 3 }, {} },
        { "few engines, many instances", { .instances = 40, .enginesPerHalf = 3 }, {} },
        { "two engines of a kind", { .enginesPerHalf = 2, .downFor = milliseconds(1000) }, {} },
        { "crashes are seen as silence", { .resets = false }, {} },
        { "groups of engines are lost", {},
            [&](CrashFleet& fleet, Duration now) {
                if (every(now, seconds(7)))
                    fleet.crashGroup(4, every(now, seconds(14)));
            } },
        { "an instance hears nobody for some time", {},
            [&](CrashFleet& fleet, Duration now) {
                if (every(now, seconds(9)))
                    fleet.cutOff(fleet.random() % fleet.instances(), now + seconds(2));
            } },
        { "instances start again in turn", {},
            [&](CrashFleet& fleet, Duration now) {
                if (every(now, seconds(2)))
                    fleet.restart(static_cast<std::size_t>(now / seconds(2)) % fleet.instances());
            } },
        { "all instances start again at once", {},
            [&](CrashFleet& fleet, Duration now) {
                for (std::size_t i = 0; i < fleet.instances() && now == seconds(12); ++i)
                    fleet.restart(i);
            } },
    };
    for (const auto& each : cases) {
        CrashFleet fleet(each.options);
        playDay(fleet, seconds(30), [&](Duration now) {
            if (each.disturb)
                each.disturb(fleet, now);
        });
        for (std::uint8_t which = 0; which < Requests; ++which) {
            CHECK_TRUE_TEXT(fleet.crashing(which).crashes.size() >= 3, each.name);
            CHECK_TRUE_TEXT(fleet.reachedAfterThird(which, StableWindow) <= AllowedRetries, each.name);
        }
        CHECK_EQUAL_TEXT(0U, fleet.sound().refusedForGood, each.name);
    }
}

// A share of the calls crashes the engine that runs it. Once those requests are known, sound streams are lost to them
// no more: they end as on a day without.
TEST(CrashingRequest, CostsSoundStreamsOnlyWhatEndsBeforeItIsKnown)
{
    constexpr Duration ArrivalGap = milliseconds(20);
    constexpr Duration EnginesBack = seconds(3);
    const struct {
        const char* name;
        Duration begin;
        std::uint64_t oneIn; ///< calls; one of them crashes its engine
    } cases[] = { { "few, early", seconds(1), 33 }, { "few, late", seconds(8), 33 }, { "many", seconds(3), 10 } };
    for (const auto& each : cases) {
        CrashFleet fleet({});
        std::uint64_t failedThen = 0;
        std::optional<Duration> knownAt; // when each of the requests had crashed three engines
        while (fleet.elapsed() < each.begin + seconds(30)) {
            const Duration now = fleet.elapsed();
            bool isKnown = true;
            for (std::uint8_t which = 0; which < Requests; ++which)
                isKnown = isKnown && fleet.crashing(which).crashes.size() >= 3;
            if (isKnown && !knownAt)
                knownAt = now;
            const std::size_t instance = fleet.random() % fleet.instances();
            if (now >= each.begin && fleet.random() % each.oneIn == 0)
                fleet.sendCrashing(instance, static_cast<std::uint8_t>(fleet.random() % Requests));
            else
                fleet.sendSound(instance);
            if (!knownAt || now < *knownAt + EnginesBack + StableWindow)
                failedThen = fleet.sound().failed;
            fleet.runUntil(now + ArrivalGap);
        }
        CHECK_TRUE_TEXT(knownAt && *knownAt < each.begin + seconds(20), each.name);
        CHECK_EQUAL_TEXT(failedThen, fleet.sound().failed, each.name);
        CHECK_EQUAL_TEXT(0U, fleet.sound().refusedForGood, each.name);
        CHECK_TRUE_TEXT(fleet.sound().completed > 1000, each.name);
    }
}

// Engines that end together, or one by one with nothing to blame, are held against no request.
TEST(CrashingRequest, NoSoundRequestIsBlamedForTheLossOfEngines)
{
    const struct {
        const char* name;
        std::size_t count;
        Duration interval;
        Duration spacing = milliseconds(0); ///< between the ends of one group; 0: all at once
    } cases[] = { { "one at a time", 1, milliseconds(900) }, { "three at a time", 3, milliseconds(2500) },
        { "half of one kind", 4, seconds(4) }, { "nearly all of one kind", 7, seconds(6) },
        { "half of one kind, 60 ms apart", 4, seconds(4), milliseconds(60) },
        { "nearly all of one kind, 140 ms apart", 7, seconds(6), milliseconds(140) } };
    for (const auto& each : cases) {
        CrashFleet fleet({});
        Duration next = seconds(2);
        bool first = true;
        std::size_t endedCount = 0;
        while (fleet.elapsed() < seconds(60)) {
            const Duration now = fleet.elapsed();
            for (int i = 0; i < 2; ++i)
                fleet.sendSound(fleet.random() % fleet.instances());
            if (now >= next) {
                endedCount = each.spacing.count() ? endedCount + 1 : each.count;
                fleet.crashGroup(endedCount, first);
                const bool isGroupComplete = endedCount == each.count;
                next = now + (isGroupComplete ? each.interval : each.spacing);
                if (isGroupComplete) {
                    endedCount = 0;
                    first = !first;
                }
            }
            fleet.runUntil(now + milliseconds(20));
        }
        CHECK_TRUE_TEXT(fleet.sound().completed > 1000, each.name);
        CHECK_EQUAL_TEXT(0U, fleet.sound().refusedForGood, each.name);
    }
}

// A popular request is beginning at all plain servers as they end in one moment. It is not the cause.
TEST(CrashingRequest, APopularRequestIsNotBlamedWhereAllServersOfAServiceEnd)
{
    RelayHarness harness;
    std::uint64_t next = 1000;
    const auto callPopular = [&] {
        CallSpec spec;
        spec.host = "h.example";
        spec.path = "/look/1";
        spec.key = "key";
        spec.content.bytes[0] = 9;
        harness.send(relay::event::CallArrived { RequestId(next++), spec });
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
