#include "tests/CutFleet.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::seconds;
using CutKind = CutFleet::CutKind;

TEST_GROUP(CutOffInstance) {};

namespace {

/// Time from the start of a cut until callers have to be served as well as those of other instances.
constexpr Duration SettlingTime = seconds(3);
/// Length of a cut, as in the incident.
constexpr Duration CutTime = seconds(12);

/// @return a description of how callers were served, for a failed check
std::string describe(const char* name, const CutFleet::FirstTries& cutOff, const CutFleet::FirstTries& others)
{
    return std::string(name) + ": cut off " + std::to_string(cutOff.served) + " of " + std::to_string(cutOff.sent)
        + ", others " + std::to_string(others.served) + " of " + std::to_string(others.sent);
}

/// Checks the promise to callers: those of instances that are cut off are served two thirds as often as the others, or
/// at most 10 + 1 in 50 of all first tries fail there.
void checkServed(const CutFleet& fleet, TimePoint cutAt, const char* name)
{
    const auto cutOff = fleet.firstTries(cutAt + SettlingTime, true);
    const auto others = fleet.firstTries(cutAt + SettlingTime, false);
    const std::size_t allowedFailures = 10 + (cutOff.sent + others.sent) / 50;
    const bool isServed = cutOff.servedShare() * 3 >= others.servedShare() * 2 || cutOff.failed() <= allowedFailures;
    CHECK_TRUE_TEXT(isServed, describe(name, cutOff, others).c_str());
    CHECK_TRUE_TEXT(others.sent > 0 && others.servedShare() > 0.9, describe(name, cutOff, others).c_str());
}

} // namespace

// Instances that had lost their path to all servers stayed in the directory and answered their callers with 503.
TEST(CutOffInstance, CallersOfInstancesWithoutAPathToTheServersAreServedLikeTheOthers)
{
    const struct {
        const char* name;
        std::size_t instances;
        std::size_t cut;
        CutKind kind;
        double callsPerSecond;
        const char* path;
    } cases[] = {
        { "1 of 9, hang", 9, 1, CutKind::Hang, 90, "/draft/1" },
        { "3 of 9, hang", 9, 3, CutKind::Hang, 90, "/draft/1" },
        { "3 of 9, reset", 9, 3, CutKind::Reset, 90, "/draft/1" },
        { "3 of 9, new ones refused", 9, 3, CutKind::RefuseNew, 90, "/draft/1" },
        { "8 of 9, hang", 9, 8, CutKind::Hang, 90, "/draft/1" },
        { "3 of 9, hang, a plain service", 9, 3, CutKind::Hang, 90, "/look/1" },
        { "3 of 9, refused, calls that must not run twice", 9, 3, CutKind::RefuseNew, 90, "/book/1" },
        { "20 of 60, hang", 60, 20, CutKind::Hang, 300, "/draft/1" },
        { "40 of 60, reset", 60, 40, CutKind::Reset, 300, "/draft/1" },
        { "98 of 295, hang", 295, 98, CutKind::Hang, 600, "/draft/1" },
        { "200 of 295, new ones refused", 295, 200, CutKind::RefuseNew, 600, "/draft/1" },
    };
    for (const auto& each : cases) {
        CutFleet::Options options;
        options.instances = each.instances;
        options.dataCentres = each.instances > 100 ? 5 : 3;
        options.serversOfEachRole = each.instances > 9 ? 12 : 4;
        options.callsPerSecond = each.callsPerSecond;
        options.path = each.path;
        CutFleet fleet(options);
        fleet.run(seconds(3));
        const TimePoint cutAt = fleet.now();
        fleet.cut(each.cut, each.kind);
        fleet.run(CutTime);
        checkServed(fleet, cutAt, each.name);
        LONGS_EQUAL_TEXT(0, fleet.ranTwice(), each.name);
        LONGS_EQUAL_TEXT(0, fleet.falselyNotRun(), each.name);
    }
}
