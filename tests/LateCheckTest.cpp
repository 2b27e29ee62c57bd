#include "edge/RelayNode.h"
#include "platform/WireNames.h"
#include "relay/RouteTable.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"
#include "tests/fakes/LateEngineControl.h"

#include <thread>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(LateCheck) {};

// An instance whose servers answered its checks in 100 ms took itself for cut off from them, and stayed so.
TEST(LateCheck, AnswersToChecksCountForThePathHoweverLateTheyCome)
{
    const struct {
        const char* name;
        milliseconds delay;
        milliseconds standstill; ///< of this process, after the check was sent
        std::uint64_t unanswered;
        std::uint64_t late;
    } cases[] = {
        { "in time", milliseconds(20), milliseconds(0), 0, 0 },
        { "late", milliseconds(250), milliseconds(0), 1, 1 },
        { "never", milliseconds(5000), milliseconds(0), 1, 0 },
        { "in time, by a process that stood still", milliseconds(20), milliseconds(300), 0, 0 },
    };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        LateEngineControl control(context, each.delay);
        RelayNode node(context, RelayOptions(), platform::headerNames(), control);
        node.post(relay::event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
        RegisteredServer engine = RelayHarness::engine("e", 0, 8);
        node.post(relay::event::ServerRegistered { engine });
        node.post(relay::event::EnginesReportedDead { { engineKey(engine.id, engine.startedAt) } });
        context.poll();
        CHECK_EQUAL_TEXT(1U, control.checks(), each.name);
        std::this_thread::sleep_for(each.standstill);
        context.run_for(milliseconds(600));
        CHECK_EQUAL_TEXT(each.unanswered, node.reducer().counters().deadEngines, each.name);
        CHECK_EQUAL_TEXT(each.late, node.reducer().counters().checksAnsweredLate, each.name);
    }
}

// The verdict on the path takes an answer into account that came after the check had counted as unanswered.
TEST(LateCheck, ALateAnswerEndsTheDoubtAboutThePath)
{
    RelayHarness harness;
    harness.send(relay::event::InstancesCounted { 4 });
    const auto report = [&] {
        EngineLoads others;
        for (const auto& [id, server] : harness.reducer().fleet().servers())
            others[engineKey(id)] = { engineKey(id), 0, 0, 0, 1 };
        harness.send(relay::event::LoadsReported { others });
    };
    report();
    harness.running("/draft/1", 2);
    std::vector<std::pair<relay::effect::CheckEngine, TimePoint>> asked;
    for (int step = 0; step < 150; ++step) {
        report();
        harness.tick(milliseconds(20));
        for (const RelayEffect& effect : RelayEffects(harness.effects())) {
            if (const auto* check = std::get_if<relay::effect::CheckEngine>(&effect)) {
                asked.emplace_back(*check, harness.now());
                harness.send(relay::event::EngineChecked { check->engine, false, 1, false, check->startedAt });
            }
        }
        if (!asked.empty() && harness.now() - asked.front().second >= milliseconds(250)) {
            harness.send(relay::event::CheckAnsweredLate { asked.front().first.engine, {}, asked.front().second });
            asked.erase(asked.begin());
        }
        CHECK_FALSE(harness.reducer().isCutOff());
    }
    CHECK_TRUE(harness.reducer().counters().checksAnsweredLate > 3);
}
