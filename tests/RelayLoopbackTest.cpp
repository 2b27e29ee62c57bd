#include "tests/RelayLoopback.h"
#include "edge/RequestDigest.h"
#include "edge/UnknownHeaders.h"
#include "edge/UpstreamAttempt.h"
#include "platform/WireNames.h"
#include "shell/Endpoint.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedServer.h"

#include <cstring>
#include <optional>
#include <thread>

using namespace crocusmount;
using namespace crocusmount::relay;

TEST_GROUP(RelayLoopback) {};

TEST(RelayLoopback, ServerAnswersAreDeliveredCompletelyOrNotAtAll)
{
    const std::string wholeAnswer = answerHead("200 OK") + "Content-Length: 4\r\n\r\nbody";
    const std::string foreignAnswer = answerHead("200 OK", "other") + "Content-Length: 5\r\n\r\nwrong";
    const struct {
        const char* name;
        const char* path;
        std::vector<std::string> answers;
        const char* status;
        const char* contains;
    } cases[] = {
        { "whole", "/book/1", { wholeAnswer }, "200", "\r\n\r\nbody" },
        { "ends with its connection", "/book/1", { answerHead("200 OK") + "\r\nbody" }, "200", "\r\n\r\nbody" },
        { "truncated", "/book/1", { answerHead("200 OK") + "Content-Length: 9\r\n\r\nbody" }, "502", "may_have_run" },
        { "another call's answer first", "/book/1", { foreignAnswer + wholeAnswer }, "200", "\r\n\r\nbody" },
        { "only another call's answer", "/book/1", { foreignAnswer }, "502", "may_have_run" },
        { "more after the answer", "/book/1", { wholeAnswer + "HTTP/1.1 200 OK\r\n" }, "200", "\r\n\r\nbody" },
        { "no seal", "/book/1", { "HTTP/1.1 200 OK\r\nX-Attempt-Id: me\r\nContent-Length: 1\r\n\r\nx" }, "502", "" },
        { "encoded", "/book/1", { answerHead("200 OK") + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx" },
            "502", "" },
        { "not HTTP", "/book/1", { "hello\r\n\r\n" }, "502", "may_have_run" },
        { "its own failure", "/book/1", { answerHead("500 Oops") + "Content-Length: 3\r\n\r\nbad" }, "500", "bad" },
        { "a failure, then a success", "/look/1",
            { answerHead("500 Oops") + "Content-Length: 3\r\n\r\nbad", wholeAnswer }, "200", "body" },
        { "not run", "/book/1", { "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" }, "503",
            "Retry-After: " },
    };
    for (const auto& testCase : cases) {
        const CallOutcome result = runCall(requestTo(testCase.path), testCase.answers);
        CHECK_TRUE_TEXT(hasText(result.answer, std::string("HTTP/1.1 ") + testCase.status),
            (testCase.name + result.answer).c_str());
        CHECK_TRUE_TEXT(hasText(result.answer, testCase.contains), (testCase.name + result.answer).c_str());
    }
}

TEST(RelayLoopback, TheLimitThatAServerNamesIsRead)
{
    const struct {
        const char* name;
        std::string head; ///< of the answer
        std::optional<double> limit;
    } cases[] = {
        { "a success", answerHead("200 OK") + "Server-Limit: 8.5\r\n", 8.5 },
        { "another case of letters", answerHead("200 OK") + "server-limit: 12\r\n", 12 },
        { "no requests at all", answerHead("200 OK") + "Server-Limit: 0\r\n", 0 },
        { "a failure", answerHead("500 Oops") + "Server-Limit: 8.5\r\n", 8.5 },
        { "a rejection", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nServer-Limit: 8.5\r\n", 8.5 },
        { "no limit", answerHead("200 OK"), std::nullopt },
        { "no number", answerHead("200 OK") + "Server-Limit: many\r\n", std::nullopt },
        { "a negative number", answerHead("200 OK") + "Server-Limit: -1\r\n", std::nullopt },
        { "not a number", answerHead("200 OK") + "Server-Limit: nan\r\n", std::nullopt },
        { "infinite", answerHead("200 OK") + "Server-Limit: inf\r\n", std::nullopt },
    };
    for (const auto& each : cases) {
        const CallOutcome result = runCall(requestTo("/book/1"), { each.head + "Content-Length: 0\r\n\r\n" });
        CHECK_TRUE_TEXT(result.limit == each.limit, each.name);
    }
}

// A rejection without the header, in between answers that name the limit, must not end it.
TEST(RelayLoopback, OnlyASignedAnswerEndsALimit)
{
    const std::string limited = answerHead("500 Oops") + "Server-Limit: 1000\r\nContent-Length: 0\r\n\r\n";
    const struct {
        const char* name;
        std::string second; ///< answer to the second attempt
        std::optional<double> limit;
    } cases[] = {
        { "a success", answerHead("200 OK") + "Content-Length: 0\r\n\r\n", std::nullopt },
        { "a failure", answerHead("500 Oops") + "Content-Length: 0\r\n\r\n", std::nullopt },
        { "a rejection", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 1000 },
        { "another server's answer", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", 1000 },
    };
    for (const auto& each : cases) {
        const CallOutcome result = runCall(requestTo("/look/1"), { limited, each.second });
        CHECK_TRUE_TEXT(result.requests >= 2, each.name);
        CHECK_TRUE_TEXT(result.limit == each.limit, each.name);
    }
}

// Instances ignored what servers asked of them in rejections.
TEST(RelayLoopback, TheTimeForWhichAServerWantsNoRequestsIsRead)
{
    const std::string rejection = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n";
    const struct {
        const char* name;
        std::string head; ///< of the answer
        double seconds;
        std::uint64_t unreadable;
    } cases[] = {
        { "a rejection", rejection + "Retry-After: 3600\r\n", 3600, 0 },
        { "another case of letters", rejection + "retry-after: 3600\r\n", 3600, 0 },
        { "a fraction", rejection + "Retry-After: 3600.5\r\n", 3600.5, 0 },
        { "a signed rejection", answerHead("503 Full") + "X-Not-Executed: 1\r\nRetry-After: 3600\r\n", 3600, 0 },
        { "a failure", answerHead("503 Oops") + "Retry-After: 3600\r\n", 3600, 0 },
        { "no time", rejection + "Retry-After: 0\r\n", 0, 0 },
        { "a huge time", rejection + "Retry-After: 1e300\r\n", 86400, 0 },
        { "a negative number", rejection + "Retry-After: -3\r\n", 0, 1 },
        { "infinite", rejection + "Retry-After: inf\r\n", 0, 1 },
        { "not a number", rejection + "Retry-After: nan\r\n", 0, 1 },
        { "a date", rejection + "Retry-After: Fri, 31 Dec 2100 23:59:59 GMT\r\n", 0, 1 },
        { "a text", rejection + "Retry-After: soon\r\n", 0, 1 },
        { "not there", rejection, 0, 0 },
        { "a success", answerHead("200 OK") + "Retry-After: 3600\r\n", 0, 0 },
        { "another rejection", answerHead("429 Slow") + "X-Not-Executed: 1\r\nRetry-After: 3600\r\n", 0, 0 },
    };
    for (const auto& each : cases) {
        const std::string second = answerHead("500 Oops") + "Content-Length: 0\r\n\r\n";
        const CallOutcome result = runCall(requestTo("/book/1"), { each.head + "Content-Length: 0\r\n\r\n", second });
        const double seconds = std::chrono::duration<double>(result.backoff).count();
        // The instance adds a random delay. Real time passes between the answer and the check.
        CHECK_TRUE_TEXT(seconds <= 1.5 * each.seconds && seconds >= each.seconds - 10, each.name);
        CHECK_EQUAL_TEXT(each.unreadable, std::min<std::uint64_t>(1, result.unreadable), each.name);
    }
}

TEST(RelayLoopback, AnAnswerThatSaysThatItsServerLeavesIsRead)
{
    const struct {
        const char* name;
        std::string head; ///< of the answer
        bool isLeaving;
    } cases[] = {
        { "a success", answerHead("200 OK") + "Server-Leaving: 1\r\n", true },
        { "another case of letters", answerHead("200 OK") + "server-leaving: 1\r\n", true },
        { "a failure", answerHead("500 Oops") + "Server-Leaving: 1\r\n", true },
        { "a rejection", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\n", true },
        { "not leaving", answerHead("200 OK") + "Server-Leaving: 0\r\n", false },
        { "not there", answerHead("200 OK"), false },
    };
    for (const auto& each : cases) {
        const CallOutcome result = runCall(requestTo("/book/1"), { each.head + "Content-Length: 0\r\n\r\n" });
        CHECK_TRUE_TEXT(result.isLeaving == each.isLeaving, each.name);
    }
}

TEST(RelayLoopback, StreamsAreForwardedByWholeEventsAndIncompleteStreamsLookIncomplete)
{
    const std::string streamHead
        = answerHead("200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto chunk = [](const std::string& bytes) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    };
    const std::string firstEvent = "id: 1\ndata: a\n\n";
    const std::string secondEvent = "id: 2\ndata: b\n\n";
    const std::string lastChunk = "0\r\n\r\n";
    const CallOutcome complete = runCall(requestTo("/once/1"),
        { streamHead + chunk(firstEvent + secondEvent.substr(0, 4)) + chunk(secondEvent.substr(4)) + lastChunk });
    CHECK_TRUE_TEXT(hasText(complete.answer, firstEvent) && hasText(complete.answer, secondEvent)
            && hasText(complete.answer, "\r\n" + lastChunk),
        complete.answer.c_str());
    const CallOutcome truncated
        = runCall(requestTo("/once/1"), { streamHead + chunk(firstEvent + secondEvent.substr(0, 9)) });
    CHECK_TRUE_TEXT(hasText(truncated.answer, firstEvent), truncated.answer.c_str());
    CHECK_FALSE_TEXT(
        hasText(truncated.answer, "id: 2") || hasText(truncated.answer, lastChunk), truncated.answer.c_str());
    const CallOutcome resumed = runCall(requestTo("/draft/1"),
        { streamHead + chunk(firstEvent + "id: 2\nda"), streamHead + chunk(secondEvent) + lastChunk });
    CHECK_TRUE_TEXT(hasText(resumed.answer, firstEvent) && hasText(resumed.answer, secondEvent)
            && hasText(resumed.answer, "\r\n" + lastChunk),
        resumed.answer.c_str());
    CHECK_EQUAL(2U, resumed.requests);
    const CallOutcome repeated
        = runCall(requestTo("/draft/1"), { streamHead + chunk(firstEvent) + chunk(firstEvent) + lastChunk });
    // An answer with a repeated event must not look complete.
    CHECK_FALSE_TEXT(hasText(repeated.answer, "\r\n" + lastChunk), repeated.answer.c_str());
}

TEST(RelayLoopback, InvalidCallsAreRefusedAndReachNoServer)
{
    const std::string wholeAnswer = answerHead("200 OK") + "Content-Length: 4\r\n\r\nbody";
    const std::string commonHeaders = "X-Attempt-Id: me\r\nAuthorization: Bearer key\r\nConnection: close\r\n";
    const struct {
        const char* name;
        std::string request;
        const char* status;
    } cases[] = {
        { "two lengths",
            "POST /book/1 HTTP/1.1\r\nHost: h.example\r\n" + commonHeaders
                + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
            "400" },
        { "length and chunks",
            "POST /book/1 HTTP/1.1\r\nHost: h.example\r\n" + commonHeaders
                + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400" },
        { "two hosts",
            "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nHost: i.example\r\n" + commonHeaders
                + "Content-Length: 0\r\n\r\n",
            "400" },
        { "no host", "POST /book/1 HTTP/1.1\r\n" + commonHeaders + "Content-Length: 0\r\n\r\n", "400" },
        { "not HTTP", "hello\r\n\r\n", "400" },
        { "no key", "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            "401" },
        { "no route", "GET /none/1 HTTP/1.1\r\nHost: h.example\r\n" + commonHeaders + "\r\n", "404" },
        { "long head",
            "GET /book/1 HTTP/1.1\r\nHost: h.example\r\n" + commonHeaders + "X-Long: " + std::string(20000, 'x')
                + "\r\n\r\n",
            "431" },
        { "long body",
            "POST /book/1 HTTP/1.1\r\nHost: h.example\r\n" + commonHeaders + "Content-Length: 99999999\r\n\r\n",
            "413" },
    };
    for (const auto& testCase : cases) {
        const CallOutcome result = runCall(testCase.request, { wholeAnswer });
        CHECK_TRUE_TEXT(hasText(result.answer, std::string("HTTP/1.1 ") + testCase.status),
            (testCase.name + result.answer).c_str());
        CHECK_EQUAL_TEXT(0U, result.requests, testCase.name);
    }
}

TEST(RelayLoopback, QuarantinedRequestIsRefusedWithoutRetryAfterWhateverItsId)
{
    const std::string wholeAnswer = answerHead("200 OK") + "Content-Length: 4\r\n\r\nbody";
    CallerRequest quarantinedRequest(http::verb::post, "/book/1", 11);
    quarantinedRequest.body() = "hi";
    const RequestTrait quarantined { WorkspaceId("w"), digestOf(quarantinedRequest, "h.example") };
    std::string withOtherId = requestTo("/book/1");
    withOtherId.replace(withOtherId.find("X-Attempt-Id: me"), std::strlen("X-Attempt-Id: me"), "X-Attempt-Id: another");
    std::string otherBody = requestTo("/book/1");
    otherBody.replace(otherBody.size() - 2, 2, "ho");
    const struct {
        const char* name;
        std::string request;
        bool refused;
    } cases[] = { { "the same", requestTo("/book/1"), true }, { "under another id", withOtherId, true },
        { "another body", otherBody, false }, { "another path", requestTo("/book/2"), false } };
    for (const auto& testCase : cases) {
        const CallOutcome result = runCall(testCase.request, { wholeAnswer }, quarantined);
        CHECK_EQUAL_TEXT(testCase.refused ? 0U : 1U, result.requests, testCase.name);
        CHECK_EQUAL_TEXT(testCase.refused, hasText(result.answer, "HTTP/1.1 400"), testCase.name);
        CHECK_EQUAL_TEXT(testCase.refused, hasText(result.answer, "crashes_servers"), testCase.name);
        CHECK_EQUAL_TEXT(testCase.refused, hasText(result.answer, "not_run"), testCase.name);
        CHECK_FALSE_TEXT(hasText(result.answer, "Retry-After"), testCase.name);
    }
}

TEST(RelayLoopback, RequestWithAQuarantinedPartInItsPromptIsRefused)
{
    const std::string wholeAnswer = answerHead("200 OK") + "Content-Length: 4\r\n\r\nbody";
    const struct {
        const char* name;
        const char* prompt;
        const char* workspace;
        bool refused;
    } cases[] = {
        { "among others", "f1:40,c1:20,e1:5", "w", true },
        { "first", "c1:20,e1:5", "w", true },
        { "in upper case with a leading zero", "f1:40,0C1:20,e1:5", "w", true },
        { "last, where it is the request's own", "f1:40,c1:20", "w", false },
        { "of another workspace", "f1:40,c1:20,e1:5", "v", false },
        { "other parts", "f1:40,c2:20,e1:5", "w", false },
        { "a malformed entry", "f1:40,c1,e1:5", "w", false },
    };
    for (const auto& testCase : cases) {
        std::string request = requestTo("/book/1");
        request.insert(request.find("X-Attempt-Id"), std::string("X-Prompt-Prefix: ") + testCase.prompt + "\r\n");
        const RequestTrait quarantined { WorkspaceId(testCase.workspace), PromptPartId("c1") };
        const CallOutcome result = runCall(request, { wholeAnswer }, quarantined);
        CHECK_EQUAL_TEXT(testCase.refused ? 0U : 1U, result.requests, testCase.name);
        CHECK_EQUAL_TEXT(testCase.refused, hasText(result.answer, "HTTP/1.1 400"), testCase.name);
        CHECK_EQUAL_TEXT(testCase.refused, hasText(result.answer, "not_run"), testCase.name);
    }
}

// Guards against an attempt whose own timer fires before the reducer notices the call's deadline. On site odpoklic-lj,
// day quiet-1, 45 calls ended as 502, and their servers were avoided as if they had failed.
TEST(RelayLoopback, CallThatReachesItsDeadlineIsAnsweredAsTimedOut)
{
    std::string request = requestTo("/book/1");
    request.insert(request.find("X-Attempt-Id"), "X-Deadline-Ms: 100\r\n");
    const CallOutcome result = runCall(request, { "" });
    CHECK_TRUE_TEXT(
        hasText(result.answer, "HTTP/1.1 504") && hasText(result.answer, "timed_out"), result.answer.c_str());
}

// Guards against duplicate events: events that a server sends after another attempt has begun to continue the answer
// would reach the caller twice.
TEST(RelayLoopback, AHeldAnswerReachesTheCallerOnlyAfterItsRelease)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    ScriptedServer server(context,
        { answerHead("200 OK") + "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(stream.size())
            + "\r\n\r\n" + stream });
    relay::effect::StartAttempt order;
    order.attempt = AttemptId(1);
    order.address = server.plainAddress();
    order.remaining = std::chrono::seconds(5);
    order.stream = true;
    auto request = std::make_shared<CallerRequest>(http::verb::post, "/draft/1", 11);
    request->set("X-Attempt-Id", "me");
    std::vector<std::uint64_t> delivered;
    bool completed = false;
    std::shared_ptr<UpstreamAttempt> attempt;
    const HeaderNames names = platform::headerNames();
    UnknownHeaders unknown(names);
    attempt = std::make_shared<UpstreamAttempt>(
        context, names, unknown, order, request, std::make_shared<AnswerPipe>(context), [&](RelayEventBody body) {
            if (const auto* event = std::get_if<relay::event::EventDelivered>(&body)) {
                delivered.push_back(event->eventId);
                attempt->hold();
            }
            const auto* ended = std::get_if<relay::event::AttemptEnded>(&body);
            completed = completed || (ended && ended->result == AttemptResult::Completed);
        });
    attempt->start();
    while (delivered.empty())
        context.run_one();
    context.poll();
    CHECK_EQUAL(1U, delivered.size());
    CHECK_FALSE(completed);
    attempt->continueAnswer();
    while (!completed) {
        context.run_one();
        if (delivered.size() == 2)
            attempt->continueAnswer();
    }
    CHECK_EQUAL(2U, delivered.size());
    CHECK_EQUAL(2U, delivered.back());
}

// A server was told of the time that was left when the attempt was decided on, although its process stood still or the
// connection took long afterwards.
TEST(RelayLoopback, AServerIsToldOfTheTimeLeftWhenItsRequestIsSent)
{
    for (const int standstillMs : { 0, 300 }) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        net::basic_socket_acceptor<Tcp, Executor> acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
        relay::effect::StartAttempt order;
        order.attempt = AttemptId(1);
        order.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        order.remaining = std::chrono::seconds(2);
        auto request = std::make_shared<CallerRequest>(http::verb::post, "/look/1", 11);
        const HeaderNames names = platform::headerNames();
        UnknownHeaders unknown(names);
        const auto attempt = std::make_shared<UpstreamAttempt>(context, names, unknown, order, request,
            std::make_shared<AnswerPipe>(context), [](const RelayEventBody&) {});
        std::this_thread::sleep_for(std::chrono::milliseconds(standstillMs));
        attempt->start();
        http::request<http::string_body> received;
        bool isReceived = false;
        net::co_spawn(
            context.get_executor(),
            [&]() -> Awaitable<void> {
                TcpStream stream(acceptor.get_executor());
                co_await acceptor.async_accept(stream.socket(), useAwaitable);
                beast::flat_buffer buffer;
                co_await http::async_read(stream, buffer, received, useAwaitable);
                isReceived = true;
            },
            net::detached);
        while (!isReceived)
            context.run_one();
        const int told = std::stoi(std::string(received[names.deadlineMs]));
        CHECK_TRUE(told <= 2000 - standstillMs);
        CHECK_TRUE(told > 500);
        attempt->cancel();
        context.poll();
    }
}

// Guards against methods that are passed on as empty text.
TEST(RelayLoopback, UnknownMethodsAreRejectedAndSentNowhere)
{
    for (const char* path : { "/look/1", "/book/1" }) {
        std::string request = requestTo(path);
        request.replace(0, 4, "QUERY");
        const CallOutcome outcome = runCall(request, { answerHead("200 OK") + "Content-Length: 4\r\n\r\nbody" });
        CHECK_TRUE_TEXT(
            hasText(outcome.answer, "HTTP/1.1 501 ") && hasText(outcome.answer, "not_run"), outcome.answer.c_str());
        CHECK_EQUAL_TEXT(0U, outcome.requests, path);
    }
}
