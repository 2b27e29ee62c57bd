#include "tests/CrashFleet.h"
#include "tests/Tests.h"

#include <string>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using CrashCause = CrashFleet::CrashCause;

/// From this time after the last tolerated crash on, no more than MaxLateAttempts crashing requests may reach engines.
constexpr Duration DetectionTime = seconds(3);
constexpr std::size_t MaxLateAttempts = 3;

struct Restart {
    const char* name;
    Duration delay; ///< from a crash to the next start of the engine
    Duration registrationDelay; ///< from that start to its entry
    Duration resetDelay; ///< from a crash until instances learn that their connections were reset
};

/// Supervisors start engines again before instances learn of the crash, and the entry of the ended start stays.
constexpr Restart Restarts[] = {
    { "back in 20 ms, reset seen in 50 ms", milliseconds(20), milliseconds(1200), milliseconds(50) },
    { "back in 20 ms, reset seen in 200 ms", milliseconds(20), milliseconds(1200), milliseconds(200) },
    { "back in 100 ms, reset seen in 200 ms", milliseconds(100), milliseconds(1200), milliseconds(200) },
    { "back in 20 ms, reset seen in 600 ms", milliseconds(20), milliseconds(1200), milliseconds(600) },
    { "back in 100 ms, reset seen in 600 ms", milliseconds(100), milliseconds(1200), milliseconds(600) },
    { "back in 100 ms, listed after the reset", milliseconds(100), milliseconds(3400), milliseconds(200) },
};

/// Sends 3% crashing requests among harmless ones, each to a random instance.
/// @param toleratedCrashes  number of crashes after which the cause is to be known
void checkCause(CrashCause cause, std::size_t toleratedCrashes)
{
    for (const Restart& restart : Restarts) {
        for (const std::uint64_t seed : { 7, 11, 23 }) {
            CrashFleet fleet({ .instances = 9,
                .restartDelay = restart.delay,
                .registrationDelay = restart.registrationDelay,
                .resetDelay = restart.resetDelay,
                .crashCause = cause,
                .seed = seed });
            while (fleet.elapsed() < seconds(25)) {
                const Duration now = fleet.elapsed();
                const std::size_t instance = fleet.random() % fleet.instances();
                if (now >= seconds(3) && fleet.random() % 100 < 3)
                    fleet.sendCrashing(instance, 0);
                else
                    fleet.sendHarmless(instance);
                fleet.runUntil(now + milliseconds(10));
            }
            const auto& crashing = fleet.crashingTally(0);
            const std::size_t late = fleet.attemptsAfterCrash(0, toleratedCrashes, DetectionTime);
            const std::string text = std::string(restart.name) + ", seed " + std::to_string(seed) + ": "
                + std::to_string(crashing.crashTimes.size()) + " crashes, " + std::to_string(late) + " late attempts";
            CHECK_TRUE_TEXT(crashing.crashTimes.size() >= 3, text.c_str());
            CHECK_TRUE_TEXT(late <= MaxLateAttempts, text.c_str());
            CHECK_EQUAL_TEXT(0U, fleet.harmlessTally().refusedPermanently, text.c_str());
        }
    }
}

} // namespace

TEST_GROUP(SuccessorAnswer) {};

// Guards against a check that is answered by the next process at a crashed engine's address: it dropped the suspects.
TEST(SuccessorAnswer, DoesNotHideACrashingRequest) { checkCause(CrashCause::Content, 3); }

// The same for requests that share a part of their prompts.
TEST(SuccessorAnswer, DoesNotHideACrashingPromptPart) { checkCause(CrashCause::PromptPart, 5); }
