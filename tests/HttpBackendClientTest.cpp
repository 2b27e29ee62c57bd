#include "shell/HttpBackendClient.h"
#include "shell/ServiceCall.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

using namespace crocusmount;

namespace {

/// Runs one attempt at a plain service whose only answer is scripted.
/// @return the posted events
std::vector<EventBody> callService(const std::string& answer)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, { answer });
    std::vector<EventBody> events;
    HttpBackendClient client(context, "owner", [&](EventBody event) { events.push_back(std::move(event)); });
    effect::StartAttempt attempt;
    attempt.attempt = AttemptId(1);
    attempt.kind = PipelineKind::Service;
    attempt.prompt = toJson(ServiceCall());
    attempt.chain = *Chain::make(1, { { BackendId("x"), server.address(), LayerRange { 0, 1 }, Generation(1) } });
    BackendClient& starter = client;
    starter.start(attempt);
    for (int i = 0; i < 50 && events.empty(); ++i)
        context.run_for(std::chrono::milliseconds(20));
    return events;
}

} // namespace

TEST_GROUP(HttpBackendClient) {};

// The caller gets the answer with a length if the service gave one. An answer that ends with its connection may have
// been cut off, which a length would hide.
TEST(HttpBackendClient, UnprovenEndOfServiceAnswerIsPassedOn)
{
    const struct {
        const char* name;
        const char* answer;
        bool isEndProven;
    } cases[] = {
        { "length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody", true },
        { "closed connection", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbody", false },
    };
    for (const auto& testCase : cases) {
        const std::vector<EventBody> events = callService(testCase.answer);
        CHECK_EQUAL_TEXT(2U, events.size(), testCase.name);
        const auto* token = std::get_if<event::TokenReceived>(&events.front());
        CHECK_TRUE_TEXT(token, testCase.name);
        const ServiceAnswer answer = serviceAnswerFromJson(token->text);
        CHECK_TEXT("body", answer.body);
        CHECK_EQUAL_TEXT(testCase.isEndProven, answer.isEndProven, testCase.name);
    }
}

TEST(HttpBackendClient, CutServiceAnswerFailsTheAttempt)
{
    const std::vector<EventBody> events = callService("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody");
    CHECK_EQUAL(1U, events.size());
    const auto* failed = std::get_if<event::AttemptFailed>(&events.front());
    CHECK_TRUE(failed && failed->run == RunState::MayHaveRun);
}
