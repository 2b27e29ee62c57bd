#include "edge/UnknownHeaders.h"
#include "edge/UpstreamAttempt.h"
#include "platform/WireNames.h"
#include "shell/EtcdStoreClient.h"
#include "shell/HttpBackendClient.h"
#include "shell/HttpClient.h"
#include "tests/RelayLoopback.h"
#include "tests/Tests.h"
#include "tests/fakes/EndlessServer.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The system's buffers of one connection take up to this many bytes that nobody has read.
constexpr std::size_t MaxBytesInSockets = 16U << 20U;
constexpr std::size_t MaxBytesOfCall = 8U << 20U;
constexpr std::size_t MaxBytesOfAnswer = 1U << 20U;

struct Endless {
    const char* name;
    std::string beginning;
    std::string block;
};

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string stream = answerHead("200 OK") + "Content-Type: text/event-stream\r\n";

const Endless answersToCalls[] = {
    { "a header line", answerHead("200 OK") + "X-Long: ", "a" },
    { "header lines", answerHead("200 OK"), "X-Line: a\r\n" },
    { "a status line", "HTTP/1.1 200 ", "O" },
    { "no HTTP", "", "garbage " },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "the body of an error", answerHead("500 Error") + "\r\n", "a" },
    { "chunks of an error", answerHead("500 Error") + chunked, "1\r\na\r\n" },
    { "the body of an answer to another call", answerHead("200 OK", "other") + chunked, "1\r\na\r\n" },
    { "the size of a chunk", stream + chunked, "0" },
    { "the extension of a chunk", stream + chunked + "1;a=", "b" },
    { "trailers", stream + chunked + "0\r\n", "X-Line: a\r\n" },
    { "an event", stream + "\r\ndata: ", "a" },
    { "the lines of an event", stream + chunked, "9\r\ndata: aa\n\r\n" },
};

struct EndlessOutcome {
    std::optional<relay::event::AttemptEnded> ended; ///< nothing after seconds without end
    std::size_t bytesSent = 0; ///< by the server
    std::size_t mostKept = 0; ///< bytes that the client's account was told of
};

/// @return what an attempt at a server leads to
EndlessOutcome attemptAt(const Endless& answer)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    EndlessServer server(context, answer.beginning, answer.block);
    const HeaderNames names = platform::headerNames();
    UnknownHeaders unknown(names);
    relay::effect::StartAttempt order;
    order.attempt = AttemptId(1);
    order.address = server.address();
    order.remaining = seconds(1);
    order.stream = true;
    auto request = std::make_shared<CallerRequest>(http::verb::post, "/draft/1", 11);
    request->set(names.callId, "me");
    EndlessOutcome outcome;
    const auto pipe = std::make_shared<AnswerPipe>(context);
    pipe->setOnKept([&](std::size_t bytes) { outcome.mostKept = std::max(outcome.mostKept, bytes); });
    const auto attempt = std::make_shared<UpstreamAttempt>(
        context, names, unknown, order, request, pipe, [&](const RelayEventBody& event) {
            if (const auto* ended = std::get_if<relay::event::AttemptEnded>(&event))
                outcome.ended = *ended;
        });
    attempt->start();
    context.run_for(seconds(3));
    outcome.bytesSent = server.bytesSent();
    return outcome;
}

/// Runs a coroutine against a server whose answer does not end.
/// @return the bytes that the server sent
template <typename Call>
std::size_t runAgainst(const Endless& answer, Call&& call)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    EndlessServer server(context, answer.beginning, answer.block);
    net::co_spawn(
        context.get_executor(), [&]() -> Awaitable<void> { co_await call(context, server.address()); },
        [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(seconds(4));
    return server.bytesSent();
}

} // namespace

TEST_GROUP(EndlessAnswer) {};

// Guards against a backend server that sends bytes without end, which filled the memory of the instance.
TEST(EndlessAnswer, AnAttemptEndsAfterABoundedNumberOfBytes)
{
    for (const Endless& answer : answersToCalls) {
        const auto [ended, bytes, mostKept] = attemptAt(answer);
        CHECK_TRUE_TEXT(ended.has_value(), answer.name);
        CHECK_TRUE_TEXT(ended->result == AttemptResult::Broken, answer.name);
        CHECK_TRUE_TEXT(bytes <= MaxBytesOfCall + MaxBytesInSockets, answer.name);
    }
}

// Guards against many unfinished answers, each within its bounds, that fill the memory together: what an attempt keeps
// counts as its caller's answer, which the account of all clients bounds.
TEST(EndlessAnswer, CountsInTheAccountOfTheClients)
{
    const Endless answers[] = {
        { "an event", stream + "\r\ndata: ", "a" },
        { "the body of an error", answerHead("500 Error") + "\r\n", "a" },
    };
    for (const Endless& answer : answers) {
        const EndlessOutcome outcome = attemptAt(answer);
        CHECK_TRUE_TEXT(outcome.mostKept >= MaxBytesOfAnswer / 2, answer.name);
    }
}

// The same for the store and for health checks, probes and orders, which share a client.
TEST(EndlessAnswer, AClientStopsReadingAfterABoundedNumberOfBytes)
{
    const Endless answers[] = {
        { "a header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a" },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X-Line: a\r\n" },
        { "a body", "HTTP/1.1 200 OK\r\n\r\n", "a" },
        { "the body of an error", "HTTP/1.1 500 Error\r\n\r\n", "a" },
        { "the extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b" },
        { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: a\r\n" },
    };
    for (const bool isStreamed : { false, true }) {
        for (const Endless& answer : answers) {
            std::optional<HttpAnswer> result;
            std::size_t received = 0;
            const std::size_t sent
                = runAgainst(answer, [&](net::io_context& context, std::string address) -> Awaitable<void> {
                      HttpClient client(context);
                      HttpCall call;
                      call.address = std::move(address);
                      HttpClient::Receive receive = [&](std::string_view bytes) {
                          received += bytes.size();
                          return received < MaxBytesOfAnswer;
                      };
                      if (isStreamed)
                          result = co_await client.stream(call, seconds(5), std::move(receive), nullptr);
                      else
                          result = co_await client.call(call);
                  });
            CHECK_TRUE_TEXT(result.has_value(), answer.name);
            CHECK_TRUE_TEXT(sent <= MaxBytesOfAnswer + MaxBytesInSockets, answer.name);
        }
    }
}

// Several answers within their bounds may not fill the memory together.
TEST(EndlessAnswer, AllCallsOfAClientTogetherKeepABoundedNumberOfBytes)
{
    constexpr std::uint64_t MaxKeptBytes = 2U << 20U;
    constexpr int Calls = 8;
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    HttpClient client(context, MaxKeptBytes);
    std::vector<std::unique_ptr<EndlessServer>> servers;
    std::vector<HttpAnswer> answers;
    for (int i = 0; i < Calls; ++i) {
        servers.push_back(std::make_unique<EndlessServer>(context, "HTTP/1.1 200 OK\r\n\r\n", "a"));
        HttpCall call;
        call.address = servers.back()->address();
        call.maxAnswerBytes = MaxKeptBytes;
        net::co_spawn(
            context.get_executor(),
            [&client, &answers, call]() -> Awaitable<void> { answers.push_back(co_await client.call(call)); },
            net::detached);
    }
    std::uint64_t mostKept = 0;
    while (answers.size() < Calls && context.run_one_for(seconds(3)))
        mostKept = std::max(mostKept, client.keptBytes());
    CHECK_EQUAL(Calls, answers.size());
    for (const HttpAnswer& answer : answers)
        CHECK_TRUE(answer.phase == CallPhase::Sent);
    CHECK_TRUE(mostKept <= MaxKeptBytes);
    CHECK_EQUAL(0U, client.keptBytes());
}

// Guards against a line without end of an engine of crocusmountd, of which all was kept.
TEST(EndlessAnswer, OfAnEngineOfCrocusmountdFailsItsAttempt)
{
    const Endless answer { "an event", "HTTP/1.1 200 OK\r\n\r\ndata: ", "a" };
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    EndlessServer server(context, answer.beginning, answer.block);
    std::vector<EventBody> events;
    HttpBackendClient client(context, "owner", [&](EventBody event) { events.push_back(std::move(event)); });
    crocusmount::effect::StartAttempt attempt;
    attempt.attempt = AttemptId(1);
    attempt.chain = *Chain::make(1, { { BackendId("x"), server.address(), LayerRange { 0, 1 }, Generation(1) } });
    BackendClient& starter = client;
    starter.start(attempt);
    for (int i = 0; i < 150 && events.empty(); ++i)
        context.run_for(milliseconds(20));
    CHECK_EQUAL(1U, events.size());
    CHECK_TRUE(std::holds_alternative<crocusmount::event::AttemptFailed>(events.front()));
    CHECK_TRUE(server.bytesSent() <= MaxBytesOfAnswer + MaxBytesInSockets);
}

// The same for the changes that a store reports.
TEST(EndlessAnswer, OfAWatchedStoreEndsTheWatch)
{
    std::optional<absl::Status> status;
    const Endless answer { "a line", "HTTP/1.1 200 OK\r\n\r\n", "a" };
    const std::size_t sent = runAgainst(answer, [&](net::io_context& context, std::string address) -> Awaitable<void> {
        std::vector<std::string> addresses { std::move(address) };
        EtcdStoreClient store(context, std::move(addresses));
        std::string begin = "a";
        std::string end = "b";
        StoreClient::OnWatch onWatch = [](const StoreWatchBatch&) { return true; };
        status = co_await store.watch(std::move(begin), std::move(end), 1, std::move(onWatch));
    });
    CHECK_TRUE(status && !status->ok());
    CHECK_TRUE(sent <= 64U * MaxBytesOfAnswer + MaxBytesInSockets);
}
