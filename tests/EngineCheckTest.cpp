#include "relay/EngineCheckBudget.h"
#include "relay/LoadReport.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

#include <memory>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(EngineCheck) {};

// Callers accept a pause of 200 ms in a stream. If each stream waited for its own stall to be detected, it would leave
// a dead stage too late. A health check of the silent stages finds the dead one in time.
TEST(EngineCheck, AStreamLeavesADeadStageAsSoonAsTheHealthCheckFails)
{
    const struct {
        const char* name;
        bool firstDies;
    } cases[] = { { "a later stage dies", false }, { "the first stage dies", true } };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 10);
        harness.tick(milliseconds(80));
        CHECK_TRUE_TEXT(harness.last<relay::effect::CheckEngine>().has_value(), each.name);
        CHECK_FALSE_TEXT(harness.last<relay::effect::RerouteAttempt>().has_value(), each.name);
        const Hop& dead = each.firstDies ? start.chain.hops().front() : start.chain.hops().back();
        harness.send(relay::event::EngineChecked { dead.backend, false, 1 });
        if (each.firstDies) {
            const auto second = harness.last<relay::effect::StartAttempt>();
            CHECK_TRUE_TEXT(second && second->resumeAfter == 10U, each.name);
            CHECK_FALSE_TEXT(second->chain.contains(dead.backend), each.name);
        } else {
            const auto order = harness.last<relay::effect::RerouteAttempt>();
            CHECK_TRUE_TEXT(order && !order->chain.contains(dead.backend), each.name);
        }
    }
}

TEST(EngineCheck, AStreamStaysOnStagesThatAnswerTheHealthCheck)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    harness.tick(milliseconds(80));
    for (const Hop& hop : start.chain.hops())
        harness.send(relay::event::EngineChecked { hop.backend, true, 1 });
    CHECK_FALSE(harness.last<relay::effect::RerouteAttempt>().has_value());
    harness.tick(milliseconds(80));
    CHECK_FALSE(harness.last<relay::effect::RerouteAttempt>().has_value());
}

// A rejection names the stage that failed, so it can reveal a dead stage before the silence of running streams does.
TEST(EngineCheck, AStageThatARejectionBlamesIsChecked)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1");
    const Hop last = start.chain.hops().back();
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, last.address });
    const auto check = harness.last<relay::effect::CheckEngine>();
    CHECK_TRUE(check && check->engine == last.backend);
}

TEST(EngineCheck, AnEngineThatAnotherInstanceAvoidsIsCheckedAndNotAssumedDead)
{
    RelayHarness harness;
    const std::uint64_t key = engineKey(BackendId("a"));
    harness.send(relay::event::InstancesCounted { 8 });
    harness.tick(seconds(1));
    harness.send(relay::event::LoadsReported { EngineLoads { { key, { key, 0, 0, 1 } } } });
    const auto check = harness.last<relay::effect::CheckEngine>();
    CHECK_TRUE(check && check->engine == BackendId("a"));
    CHECK_FALSE(harness.reducer().fleet().servers().at(BackendId("a")).isDead(harness.now()));
    harness.send(relay::event::EngineChecked { BackendId("a"), false, 1 });
    CHECK_TRUE(harness.reducer().fleet().servers().at(BackendId("a")).isDead(harness.now()));
}

// Servers of a plain service do not answer health checks of engines. After some lost answers they were checked anyway
// and then considered dead for the rest of the day (simulated day scc-faq scale-1, seed 12).
TEST(EngineCheck, ServersOfPlainServicesGetNoEngineChecks)
{
    RelayHarness harness;
    const std::uint64_t key = engineKey(BackendId("x"));
    harness.send(relay::event::InstancesCounted { 8 });
    harness.tick(seconds(1));
    harness.send(relay::event::LoadsReported { EngineLoads { { key, { key, 0, 0, 8 } } } });
    CHECK_FALSE(harness.last<relay::effect::CheckEngine>().has_value());
}

// Without reports, 16 of 80 instances found a dead engine within 0.1 s. The others learned of it only after two rounds
// of the load exchange (simulated day scc-faq-grown trouble-1).
TEST(EngineCheck, ADeadEngineIsReportedToOtherInstancesImmediatelyAndOnce)
{
    RelayHarness harness;
    harness.send(relay::event::EngineChecked { BackendId("a"), false, 1 });
    CHECK_TRUE(harness.last<relay::effect::ReportEngineState>()->engine == BackendId("a"));
    harness.send(relay::event::EngineChecked { BackendId("a"), false, 1 });
    CHECK_FALSE(harness.last<relay::effect::ReportEngineState>().has_value());
}

TEST(EngineCheck, AReportedDeadEngineIsLeftWithoutACheckOnlyIfAnOwnStreamIsSilent)
{
    const struct {
        const char* name;
        int silentMs;
        bool isLeft;
    } cases[] = { { "the stream has events", 20, false }, { "the stream is silent", 100, true } };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 10);
        const Hop dead = start.chain.hops().back();
        harness.tick(milliseconds(each.silentMs));
        harness.send(relay::event::EnginesReportedDead { { engineKey(dead.backend) } });
        const auto order = harness.last<relay::effect::RerouteAttempt>();
        CHECK_EQUAL_TEXT(each.isLeft, order.has_value(), each.name);
        CHECK_EQUAL_TEXT(!each.isLeft, harness.last<relay::effect::CheckEngine>().has_value(), each.name);
    }
}

TEST(EngineCheck, ADeadEngineIsNotUsedAgainBeforeItAnswersAHealthCheck)
{
    RelayHarness harness;
    harness.send(relay::event::EngineChecked { BackendId("a"), false, 1 });
    for (int i = 0; i < 100; ++i) {
        harness.tick(milliseconds(20));
        if (const auto check = harness.last<relay::effect::CheckEngine>())
            harness.send(relay::event::EngineChecked { check->engine, false, 1 });
        CHECK_TRUE(harness.reducer().fleet().servers().at(BackendId("a")).isDead(harness.now()));
    }
    harness.send(relay::event::EngineChecked { BackendId("a"), true, 1 });
    CHECK_FALSE(harness.reducer().fleet().servers().at(BackendId("a")).isDead(harness.now()));
}

// Engines that were twelve times slower than usual kept receiving new streams, which filled their memory.
TEST(EngineCheck, NewStreamsAvoidAnEngineThatReportsToBeSlow)
{
    const struct {
        double slowness;
        bool isAvoided;
    } cases[] = { { 1, false }, { 12, true } };
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::EngineChecked { BackendId("a"), true, each.slowness });
        bool isUsed = false;
        for (int i = 0; i < 4; ++i)
            isUsed = isUsed || harness.running("/draft/1").chain.contains(BackendId("a"));
        CHECK_EQUAL(each.isAvoided, !isUsed);
    }
}

TEST(EngineCheck, TheRateOfChecksIsLimitedOverAllInstances)
{
    const struct {
        std::size_t engines;
        std::uint32_t instances;
        int minChecks;
        int maxChecks;
    } cases[] = { { 38, 8, 38, 40 }, { 99, 80, 21, 23 }, { 0, 1, 16, 16 } };
    for (const auto& each : cases) {
        EngineCheckBudget budget;
        int checks = 0;
        for (std::int64_t ms = 0; ms <= 10000; ms += 20) {
            budget.refill(each.engines, each.instances, timePoint(ms * 1000));
            while (budget.spend())
                ++checks;
        }
        CHECK_TRUE(checks >= each.minChecks);
        CHECK_TRUE(checks <= each.maxChecks);
    }
}

// While one engine was dead, its rejections and the streams that it delayed lowered the limit of concurrent streams to
// one or two. Calls were refused for seconds after the other engines had free capacity again (simulated day scc-faq
// scale-1).
TEST(EngineCheck, ADeadEngineDoesNotLowerTheStreamLimit)
{
    RelayHarness harness;
    const auto complete = [&](AttemptId attempt) {
        harness.events(attempt, 1, 1);
        harness.send(relay::event::AttemptEnded { attempt, AttemptResult::Completed, 200, "" });
    };
    for (int i = 0; i < 100; ++i) {
        const auto start = harness.running("/draft/1");
        const Hop last = start.chain.hops().back();
        if (last.backend != BackendId("b")) {
            harness.tick(milliseconds(50));
            complete(start.attempt);
            continue;
        }
        // Engine "b" keeps the call until the checks find it dead, and rejects it after the latency objective has
        // passed.
        std::optional<relay::effect::StartAttempt> next;
        for (int tick = 0; tick < 30; ++tick) {
            harness.tick(milliseconds(20));
            if (!harness.last<relay::effect::CheckEngine>())
                continue;
            harness.send(relay::event::EngineChecked { start.server, true, 1 });
            harness.send(relay::event::EngineChecked { last.backend, false, 1 });
            next = harness.last<relay::effect::StartAttempt>();
        }
        harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, last.address });
        if (!next)
            next = harness.last<relay::effect::StartAttempt>();
        if (next)
            complete(next->attempt);
    }
    int started = 0;
    for (int i = 0; i < 10; ++i) {
        harness.call("/draft/1");
        started += harness.last<relay::effect::StartAttempt>().has_value();
    }
    CHECK_EQUAL(10, started);
}

namespace {

/// Lets an engine reject a call, and then answer the health check that is sent once its reports cover that time.
/// @return the instance whose call was rejected, with the effects of the answer
std::unique_ptr<RelayHarness> harnessAfterRejection(const BackendId& engine, std::uint32_t queued, double memoryUsed)
{
    auto harness = std::make_unique<RelayHarness>();
    const std::string address = harness->reducer().fleet().servers().at(engine).entry.address;
    auto start = harness->running("/draft/1");
    while (!start.chain.contains(engine))
        start = harness->running("/draft/1");
    harness->send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, address });
    // The check for its death is sent at once, so the answer describes the engine before the rejection.
    harness->send(relay::event::EngineChecked { engine, true, 1, false, {}, {}, {}, 0, 0.1 });
    CHECK_FALSE(harness->last<relay::effect::ReportEngineState>().has_value());
    harness->tick(milliseconds(310));
    harness->send(relay::event::EngineChecked { engine, true, 1, false, {}, {}, {}, queued, memoryUsed });
    return harness;
}

} // namespace

// 17 of 205 engines left at the same time while the store was unavailable, so the registry did not show it. One of them
// rejected 566 calls of 86 instances within 8 s, because each instance had to find out by itself. This used up the
// retry budgets of all instances.
TEST(EngineCheck, AnEngineThatRejectsCallsDespiteFreeCapacityIsReportedClosedAndGetsNoCalls)
{
    const struct {
        const char* name;
        std::uint32_t queued;
        double memoryUsed;
        bool isClosed;
    } cases[] = {
        { "empty", 0, 0, true },
        { "half full", 0, 0.5, true },
        { "short of memory", 0, 0.95, false },
        { "short of slots", 4, 0.3, false },
        { "does not report its memory", 0, 1, false },
    };
    const BackendId engine("b");
    for (const auto& each : cases) {
        const auto harness = harnessAfterRejection(engine, each.queued, each.memoryUsed);
        const auto report = harness->last<relay::effect::ReportEngineState>();
        CHECK_EQUAL_TEXT(each.isClosed, report.has_value(), each.name);
        if (!report)
            continue;
        CHECK_TRUE_TEXT(report->finding == relay::effect::ReportEngineState::Finding::Closed, each.name);
        CHECK_TRUE_TEXT(report->engine == engine, each.name);
        for (int i = 0; i < 12; ++i)
            CHECK_FALSE_TEXT(harness->running("/draft/1").chain.contains(engine), each.name);
    }
}

TEST(EngineCheck, AnEngineThatAcceptsACallAfterARejectionIsNotReportedClosed)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1");
    const Hop last = start.chain.hops().back();
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, last.address });
    const auto startCall = [&] { return harness.running("/draft/1"); };
    auto next = startCall();
    for (int i = 0; i < 50 && !next.chain.contains(last.backend); ++i) {
        harness.tick(milliseconds(20));
        next = startCall();
    }
    CHECK_TRUE(next.chain.contains(last.backend));
    harness.events(next.attempt, 1, 1);
    harness.tick(milliseconds(310));
    harness.send(relay::event::EngineChecked { last.backend, true, 1, false, {}, {}, {}, 0, 0.1 });
    CHECK_FALSE(harness.last<relay::effect::ReportEngineState>().has_value());
}

TEST(EngineCheck, AnEngineReportedClosedGetsNoCallsForTwoSeconds)
{
    const struct {
        int afterMs;
        bool isUsed;
    } cases[] = { { 0, false }, { 1900, false }, { 2100, true } };
    const BackendId engine("b");
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::EnginesReportedClosed { { engineKey(engine) } });
        harness.tick(milliseconds(each.afterMs));
        bool isUsed = false;
        for (int i = 0; i < 12; ++i)
            isUsed = isUsed || harness.running("/draft/1").chain.contains(engine);
        CHECK_EQUAL(each.isUsed, isUsed);
    }
}

// A process that has ended cannot reject calls. Connections to its address are refused instead.
TEST(EngineCheck, AnEngineThatRefusesConnectionsIsChecked)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1");
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::ConnectFailed, 0, "" });
    const auto check = harness.last<relay::effect::CheckEngine>();
    CHECK_TRUE(check && check->engine == start.server);
}

// When one engine died, 295 instances sent 48,000 health checks to all silent engines within 30 ms. Accepting a
// connection takes an engine 1 ms, so healthy engines missed the time limit of 80 ms and streams left them.
TEST(EngineCheck, AfterTheDeathOfAnEngineOnlyEnginesThatCallsUseOrWouldUseAreChecked)
{
    for (const int otherEngines : { 0, 40, 200 }) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 10);
        for (int i = 0; i < otherEngines; ++i)
            harness.send(relay::event::ServerRegistered { RelayHarness::engine("n" + std::to_string(i), 0, 4) });
        harness.tick(seconds(2));
        harness.events(start.attempt, 11, 12);
        harness.tick(milliseconds(200));
        const RelayEffects effects
            = harness.send(relay::event::EngineChecked { start.chain.hops().back().backend, false, 1, true });
        const auto checks = std::count_if(effects.begin(), effects.end(),
            [](const RelayEffect& effect) { return std::holds_alternative<relay::effect::CheckEngine>(effect); });
        // At most the other stage of the chain, and the stages of the chain that replaces it.
        CHECK_TRUE_TEXT(checks <= 4, std::to_string(otherEngines).c_str());
    }
}
