#include "relay/StartAdmission.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StartAdmission) {};

namespace {

const ServiceId Model("model");
const TimePoint Start = timePoint(1000000);

/// @return an instance among ten that has read the configuration a second after its start
StartAdmission amongTen()
{
    StartAdmission admission(seconds(2));
    admission.started(Start);
    admission.configured(Start + seconds(1));
    admission.instancesCounted(10, Start + seconds(1));
    return admission;
}

} // namespace

TEST(StartAdmission, KnowledgeGrowsFromNothingToLoads)
{
    StartAdmission admission(seconds(2));
    admission.started(Start);
    CHECK(admission.knowledgeOf(Model, Start) == StartKnowledge::Nothing);
    admission.configured(Start + seconds(1));
    admission.instancesCounted(10, Start + seconds(1));
    admission.setCapacity(Model, { 0, 0, true }, Start + seconds(1), 1);
    CHECK(admission.knowledgeOf(Model, Start + seconds(1)) == StartKnowledge::Configuration);
    admission.setCapacity(Model, { 100, 0, true }, Start + seconds(2), 1);
    CHECK(admission.knowledgeOf(Model, Start + seconds(2)) == StartKnowledge::Servers);
    admission.loadsReported(false, Start + seconds(2));
    CHECK(admission.knowledgeOf(Model, Start + seconds(2)) == StartKnowledge::Servers);
    admission.loadsReported(true, Start + seconds(2));
    CHECK(admission.knowledgeOf(Model, Start + seconds(2)) == StartKnowledge::Complete);
    // Reports that stop later are no start.
    admission.loadsReported(false, Start + seconds(3));
    CHECK(admission.knowledgeOf(Model, Start + seconds(3)) == StartKnowledge::Complete);
}

TEST(StartAdmission, ServersThatAreMissingAfterTheGraceAreGone)
{
    StartAdmission admission = amongTen();
    admission.setCapacity(Model, { 0, 0, true }, Start + seconds(1), 1);
    CHECK(admission.knowledgeOf(Model, Start + seconds(3)) == StartKnowledge::Configuration);
    CHECK(admission.knowledgeOf(Model, Start + seconds(4)) == StartKnowledge::Complete);
    admission.storeCopyChecked(true, Start + seconds(5));
    CHECK(admission.knowledgeOf(Model, Start + seconds(9)) == StartKnowledge::Configuration);
    admission.storeCopyChecked(false, Start + seconds(9));
    CHECK(admission.knowledgeOf(Model, Start + seconds(11)) == StartKnowledge::Configuration);
    CHECK(admission.knowledgeOf(Model, Start + seconds(12)) == StartKnowledge::Complete);
}

TEST(StartAdmission, CallsAreHeldForLessThanTheirCallersWait)
{
    const struct {
        Duration timeout;
        Duration objective;
        bool isStream;
        Duration expected;
    } cases[] = {
        { seconds(20), Duration(0), true, milliseconds(1400) },
        { seconds(20), milliseconds(500), true, milliseconds(1400) },
        { seconds(20), milliseconds(1000), true, milliseconds(2800) },
        { seconds(4), milliseconds(500), false, milliseconds(1000) },
        { milliseconds(600), milliseconds(300), false, milliseconds(150) },
        { milliseconds(300), milliseconds(300), false, milliseconds(0) },
        { Duration(0), milliseconds(300), false, seconds(3) },
    };
    const StartAdmission admission(seconds(2));
    for (const auto& each : cases)
        LONGS_EQUAL(each.expected.count(), admission.holdTime(each.timeout, each.objective, each.isStream).count());
}

// Most callers have one return. It must not come before servers can be back.
TEST(StartAdmission, TheOutageIsExpectedToLastAsLongAgain)
{
    StartAdmission admission(seconds(2));
    admission.started(Start);
    const auto at = [&](Duration lasted, double fraction, Duration remaining) {
        return admission.retryAfter(Model, 0, remaining, fraction, Start + lasted);
    };
    CHECK(at(milliseconds(500), 0, seconds(20)) == milliseconds(2500));
    CHECK(at(seconds(2), 0, seconds(20)) == milliseconds(2500));
    CHECK(at(seconds(2), 0.999, seconds(20)) > seconds(6));
    // Callers accept a third of their remaining time.
    for (const double fraction : { 0.0, 0.5, 0.999 })
        CHECK(at(seconds(12), fraction, seconds(15)) <= seconds(5));
    CHECK(at(seconds(12), 0.999, seconds(15)) - at(seconds(12), 0, seconds(15)) > seconds(2));
}

TEST(StartAdmission, ALoneInstanceDoesNotTakeItsCountForTheWholeAtOnce)
{
    StartAdmission admission(seconds(2));
    admission.started(Start);
    admission.configured(Start);
    admission.instancesCounted(1, Start);
    admission.setCapacity(Model, { 100, 0, true }, Start, 1);
    CHECK_FALSE(admission.mayGo(Model, false, Start + milliseconds(100)));
    admission.instancesCounted(1, Start + milliseconds(100));
    CHECK(admission.mayGo(Model, false, Start + milliseconds(200)));
}

// Ten instances with a share of less than a call each send what the servers carry, not a call each.
TEST(StartAdmission, SharesOfLessThanACallAddUpToTheWhole)
{
    constexpr std::size_t Instances = 200;
    std::size_t gone = 0;
    for (std::size_t i = 0; i < Instances; ++i) {
        StartAdmission admission(seconds(2));
        admission.started(Start);
        admission.configured(Start);
        admission.instancesCounted(Instances, Start);
        admission.setCapacity(Model, { 100, 0, true }, Start, (i + 1) * 0x9E3779B97F4A7C15ULL);
        for (Duration after = milliseconds(300); after <= milliseconds(3300); after += milliseconds(20)) {
            if (admission.mayGo(Model, true, Start + after)) {
                admission.went(Model);
                ++gone;
            }
        }
    }
    CHECK(gone > 70);
    CHECK(gone <= 110);
}

TEST(StartAdmission, CallsThatCanNotBeginInTimeAreKnown)
{
    StartAdmission admission = amongTen();
    admission.setCapacity(Model, { 100, 0, true }, Start + seconds(1), 1);
    const TimePoint now = Start + seconds(2);
    CHECK(admission.canBegin(Model, 0, now, now + seconds(1)));
    CHECK_FALSE(admission.canBegin(Model, 50, now, now + seconds(1)));
    CHECK_FALSE(admission.canBegin(Model, 0, now, now));
}

// The harness without servers: the calls of an instance that knows its configuration only.
TEST(StartAdmission, ACallIsHeldUntilServersAreListed)
{
    RelayHarness harness;
    for (const char* id : { "a", "b", "c", "d" })
        harness.send(relay::event::ServerUnregistered { BackendId(id) });
    harness.call("/draft/1");
    CHECK(harness.effects().empty() || !harness.last<relay::effect::Refuse>());
    harness.tick(milliseconds(600)); // Longer than a queue's wait of half the objective.
    CHECK_FALSE(harness.last<relay::effect::Refuse>().has_value());
    harness.send(relay::event::ServerRegistered { RelayHarness::engine("a", 0, 4) });
    harness.send(relay::event::ServerRegistered { RelayHarness::engine("b", 4, 8) });
    harness.tick(milliseconds(20));
    CHECK(harness.last<relay::effect::StartAttempt>().has_value());
}

TEST(StartAdmission, AHeldCallIsRefusedAsNotRunWhileItsCallerWaits)
{
    RelayHarness harness;
    for (const char* id : { "a", "b", "c", "d" })
        harness.send(relay::event::ServerUnregistered { BackendId(id) });
    harness.call("/draft/1");
    harness.tick(milliseconds(1380));
    CHECK_FALSE(harness.last<relay::effect::Refuse>().has_value());
    harness.tick(milliseconds(20));
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK(refusal.has_value());
    CHECK(refusal->run == RunState::NotRun);
    CHECK(refusal->retryAfter >= milliseconds(200));
    LONGS_EQUAL(1, harness.reducer().counters().startHolds.at(static_cast<std::size_t>(StartHoldEnd::PatienceOver)));
    LONGS_EQUAL(0, harness.reducer().openCalls());
}

TEST(StartAdmission, WithoutTheMechanismACallIsRefusedAfterTheQueuesWait)
{
    RelayOptions options;
    options.without = *DisabledMechanisms::make("start-admission");
    RelayHarness harness(options);
    for (const char* id : { "a", "b", "c", "d" })
        harness.send(relay::event::ServerUnregistered { BackendId(id) });
    harness.call("/draft/1");
    harness.tick(milliseconds(250));
    CHECK(harness.last<relay::effect::Refuse>().has_value());
}
