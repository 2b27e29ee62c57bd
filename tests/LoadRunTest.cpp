#include "load/LoadRun.h"
#include "standins/KnownText.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

using namespace crocusmount;

TEST_GROUP(LoadRun) {};

// An answer that was cut off at the end of its connection is lost, and is asked for again. Counted as a wrong one, it
// would end the request.
TEST(LoadRun, CutAnswerIsLostAndAskedForAgain)
{
    const std::string event = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
    const struct {
        const char* name;
        bool isStream;
        std::string body;
    } cases[] = {
        { "stream without its end", true, event },
        { "cut event", true, event.substr(0, 20) },
        { "nothing of a stream", true, "" },
        { "cut answer", false, "{\"choices\":[{\"te" },
        { "nothing of an answer", false, "" },
    };
    for (const auto& testCase : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        ScriptedHttpServer server(context, { "HTTP/1.1 200 OK\r\n\r\n" + testCase.body });
        Experiment experiment;
        experiment.seconds = 0.05;
        experiment.requestsPerSecond = 60;
        experiment.entries = { server.address() };
        experiment.workspaces = { { "w", "token" } };
        experiment.mix.resize(1);
        experiment.mix.front().stream = testCase.isStream;
        experiment.tries = 2;
        LoadRun run(context, experiment);
        net::co_spawn(context.get_executor(), run.run(), [&](const std::exception_ptr&) { context.stop(); });
        context.run_for(std::chrono::seconds(5));
        CHECK_FALSE_TEXT(run.records().empty(), testCase.name);
        STRCMP_EQUAL_TEXT("lost", run.records().front()->outcome.c_str(), testCase.name);
        CHECK_EQUAL_TEXT(2U, run.records().front()->tries, testCase.name);
    }
}
