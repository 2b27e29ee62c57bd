#include "tests/CrashFleet.h"
#include "tests/Tests.h"

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
