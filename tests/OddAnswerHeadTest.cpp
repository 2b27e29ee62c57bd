#include "platform/KvStoreClient.h"
#include "platform/PlatformEngineControl.h"
#include "shell/HttpBackendClient.h"
#include "shell/HttpClient.h"
#include "shell/ServiceCall.h"
#include "tests/RelayLoopback.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::seconds;

namespace {

struct OddHead {
    const char* name;
    std::string start; ///< status line, and fields before the usual ones
};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string SoundAnswer
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: me\r\nX-Server-Seal: s\r\nContent-Length: 6\r\n\r\nbehind";

/// No answer whose head is malformed may be taken for one, nor what stands behind it.
const std::vector<OddHead> MalformedHeads = {
    { "status 000", "HTTP/1.1 000 OK\r\n" },
    { "status 099", "HTTP/1.1 099 OK\r\n" },
    { "status of two digits", "HTTP/1.1 20 OK\r\n" },
    { "status of four digits", "HTTP/1.1 2000 OK\r\n" },
    { "status 101", "HTTP/1.1 101 Switching\r\n" },
    { "status 600", "HTTP/1.1 600 OK\r\n" },
    { "status 999", "HTTP/1.1 999 OK\r\n" },
    { "no status", "HTTP/1.1 OK\r\n" },
    { "another protocol", "HTTP/2.0 200 OK\r\n" },
    { "blank in a name", Ok + "X Odd: 1\r\n" },
    { "tab in a name", Ok + "X\tOdd: 1\r\n" },
    { "control byte in a name", Ok + "X\x01Odd: 1\r\n" },
    { "NUL in a name", Ok + std::string("X\0Odd: 1\r\n", 10) },
    { "8-bit name", Ok + "X\xe9Odd: 1\r\n" },
    { "empty name", Ok + ": 1\r\n" },
    { "blank before the colon", Ok + "X-Odd : 1\r\n" },
    { "blank before the colon of a length", Ok + "Content-Length : 2\r\n" },
    { "line without a colon", Ok + "X-Odd\r\n" },
    { "NUL in a value", Ok + std::string("X-Odd: a\0b\r\n", 12) },
    { "bare CR in a value", Ok + "X-Odd: a\rb\r\n" },
    { "two lengths", Ok + "Content-Length: 2\r\nContent-Length: 3\r\n" },
    { "signed length", Ok + "Content-Length: +2\r\n" },
    { "hexadecimal length", Ok + "Content-Length: 0x2\r\n" },
};

/// @return the answer that has an odd head, with a whole answer of the same call behind it
std::string answerWith(const OddHead& head)
{
    const bool hasLength = absl::StrContains(head.start, "Content-Length");
    return absl::StrCat(head.start, "X-Attempt-Id: me\r\nX-Server-Seal: s\r\n",
        hasLength ? "" : "Content-Length: 4\r\n", "\r\nodd!", SoundAnswer);
}

/// Runs a coroutine against a server whose only answer is scripted.
template <typename Call>
void runAgainst(const std::string& answer, Call&& call)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, { answer });
    const auto run = [&]() -> Awaitable<void> { co_await call(context, server.address()); };
    net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(seconds(3));
}

} // namespace

TEST_GROUP(OddAnswerHead) {};

// Guards against answers with a malformed head that a caller got as an answer, or that hid another one.
TEST(OddAnswerHead, IsNoAnswerToACall)
{
    for (const OddHead& head : MalformedHeads) {
        for (const char* path : { "/book/1", "/look/1", "/once/1" }) {
            const CallOutcome outcome = runCall(requestTo(path), { answerWith(head) });
            const std::string text = absl::StrCat(head.name, ", ", path, ": ", outcome.answer);
            CHECK_TRUE_TEXT(hasText(outcome.answer, "HTTP/1.1 502 "), text.c_str());
            CHECK_FALSE_TEXT(hasText(outcome.answer, "odd!") || hasText(outcome.answer, "behind"), text.c_str());
        }
    }
}

// The same for the client of checks, orders, the store and peers, and for what it passes to them.
TEST(OddAnswerHead, IsNoAnswerToHttpClient)
{
    for (const OddHead& head : MalformedHeads) {
        for (const bool streams : { false, true }) {
            HttpAnswer answer;
            std::string streamed;
            runAgainst(answerWith(head), [&](net::io_context& context, std::string address) -> Awaitable<void> {
                HttpClient client(context);
                HttpCall call;
                call.address = std::move(address);
                HttpClient::Receive receive = [&](std::string_view bytes) {
                    streamed.append(bytes);
                    return true;
                };
                if (streams)
                    answer = co_await client.stream(call, seconds(1), std::move(receive), nullptr);
                else
                    answer = co_await client.call(call);
            });
            CHECK_TRUE_TEXT(answer.phase == CallPhase::Sent, head.name);
            CHECK_EQUAL_TEXT(0U, answer.status, head.name);
            STRCMP_EQUAL_TEXT("", (answer.body + streamed).c_str(), head.name);
        }
    }
}

TEST(OddAnswerHead, ShowsNoStateOfAnEngineOrOfTheStore)
{
    for (const OddHead& head : MalformedHeads) {
        std::optional<EngineReport> report;
        std::optional<ServerIdentity> identity;
        std::optional<absl::Status> kept;
        const auto ask = [&](net::io_context& context, std::string address) -> Awaitable<void> {
            platform::PlatformEngineControl control(context);
            report = co_await control.check(address, seconds(1));
            std::string path = "/health";
            identity = co_await control.identify(address, std::move(path), seconds(1));
            platform::KvStoreClient store(context, address);
            kept = co_await store.keepLease(1);
        };
        runAgainst(answerWith(head), ask);
        CHECK_TRUE_TEXT(report && report->answer == CheckAnswer::Silent, head.name);
        CHECK_TRUE_TEXT(identity && identity->answer == CheckAnswer::Silent, head.name);
        CHECK_TRUE_TEXT(kept && !kept->ok(), head.name);
    }
}

// Two lines that name the owner, the signer or the type of an answer differently leave it open whose or what it is.
TEST(OddAnswerHead, WithContradictionsIsNotPassedOn)
{
    for (const char* path : { "/book/1", "/look/1", "/once/1" }) {
        for (const char* line : { "X-Attempt-Id: other", "X-Server-Seal: t", "Content-Type: text/event-stream" }) {
            const std::string own = answerHead("200 OK") + "Content-Type: text/plain\r\n";
            const std::string length = "Content-Length: 4\r\n\r\nodd!";
            for (const std::string& answer : { absl::StrCat(own, line, "\r\n", length),
                     absl::StrCat(Ok, line, "\r\n", own.substr(Ok.size()), length) }) {
                const CallOutcome outcome = runCall(requestTo(path), { answer });
                CHECK_TRUE_TEXT(hasText(outcome.answer, "HTTP/1.1 502 "), (path + answer + outcome.answer).c_str());
            }
        }
    }
}

TEST(OddAnswerHead, WithTwoLimitsOrTimesNamesNone)
{
    const std::string rest = "Content-Length: 4\r\n\r\nbody";
    const CallOutcome limits
        = runCall(requestTo("/look/1"), { answerHead("200 OK") + "Server-Limit: 3\r\nServer-Limit: 9\r\n" + rest });
    CHECK_TRUE(hasText(limits.answer, "HTTP/1.1 200 "));
    CHECK_FALSE(limits.limit.has_value());
    CHECK_EQUAL(1U, limits.unreadable);
    const CallOutcome times = runCall(requestTo("/book/1"),
        { answerHead("503 Busy") + "X-Not-Executed: 1\r\nRetry-After: 1\r\nRetry-After: 600\r\n" + rest });
    CHECK_TRUE(times.backoff == Duration(0));
}

// The same value twice is no contradiction.
TEST(OddAnswerHead, WithARepeatedValueIsPassedOn)
{
    const CallOutcome outcome = runCall(requestTo("/book/1"),
        { answerHead("200 OK") + "X-Attempt-Id: me\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody" });
    CHECK_TRUE(hasText(outcome.answer, "HTTP/1.1 200 "));
}
