#include "edge/UnknownHeaders.h"
#include "edge/UpstreamAttempt.h"
#include "platform/WireNames.h"
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
constexpr std::size_t MaxBytesOfStore = 64U << 20U;

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

/// @return the result of an attempt at a server, and the bytes that the server sent; nothing after seconds without end
std::pair<std::optional<relay::event::AttemptEnded>, std::size_t> attemptAt(const Endless& answer)
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
    std::optional<relay::event::AttemptEnded> result;
    const auto attempt = std::make_shared<UpstreamAttempt>(context, names, unknown, order, request,
        std::make_shared<AnswerPipe>(context), [&](const RelayEventBody& event) {
            if (const auto* ended = std::get_if<relay::event::AttemptEnded>(&event))
                result = *ended;
        });
    attempt->start();
    context.run_for(seconds(3));
    return { result, server.bytesSent() };
}

} // namespace

TEST_GROUP(EndlessAnswer) {};

// Guards against a backend server that sends bytes without end, which filled the memory of the instance.
TEST(EndlessAnswer, AnAttemptEndsAfterABoundedNumberOfBytes)
{
    for (const Endless& answer : answersToCalls) {
        const auto [result, bytes] = attemptAt(answer);
        CHECK_TRUE_TEXT(result.has_value(), answer.name);
        CHECK_TRUE_TEXT(result->result == AttemptResult::Broken, answer.name);
        CHECK_TRUE_TEXT(bytes <= MaxBytesOfCall + MaxBytesInSockets, answer.name);
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
            net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
            EndlessServer server(context, answer.beginning, answer.block);
            HttpClient client(context);
            HttpCall call;
            call.address = server.address();
            std::optional<HttpAnswer> result;
            std::size_t received = 0;
            net::co_spawn(
                context.get_executor(),
                [&]() -> Awaitable<void> {
                    const auto receive = [&](std::string_view bytes) {
                        received += bytes.size();
                        return received < MaxBytesOfCall;
                    };
                    if (isStreamed)
                        result = co_await client.stream(call, seconds(5), receive, nullptr);
                    else
                        result = co_await client.call(call);
                },
                net::detached);
            context.run_for(seconds(4));
            CHECK_TRUE_TEXT(result.has_value(), answer.name);
            CHECK_TRUE_TEXT(server.bytesSent() <= MaxBytesOfStore + MaxBytesInSockets, answer.name);
        }
    }
}
