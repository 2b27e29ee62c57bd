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

namespace {

enum class Framing { Length, Chunks, Connection };
constexpr Framing AllFramings[] = { Framing::Length, Framing::Chunks, Framing::Connection };

const char* nameOf(Framing framing)
{
    switch (framing) {
    case Framing::Length:
        return "length";
    case Framing::Chunks:
        return "chunks";
    case Framing::Connection:
        return "connection";
    }
    return "framing";
}

/// A kind of call, by the path of its route.
struct Kind {
    const char* path;
    bool isStream;
    bool isRepeatable;
    /// A stream that is resumed waits for half a second. Its answers are read like those of other streams.
    bool isSlow() const { return isStream && isRepeatable; }
};
const Kind AllKinds[] = { { "/book/1", false, false }, { "/look/1", false, true }, { "/once/1", true, false },
    { "/draft/1", true, true } };

const std::vector<std::string> Events = { "id: 1\ndata: first\n\n", "id: 2\ndata: second\n\n" };
const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

std::string bodyOf(const Kind& kind)
{
    return kind.isStream ? Events[0] + Events[1] : "a body of one hundred bytes or less, of 50 at least";
}

/// What the server sends before it ends the connection.
struct ServerAnswer {
    std::string bytes; ///< the whole answer
    std::size_t headBytes; ///< with the blank line and the interim answers
};

ServerAnswer answerOf(
    const Kind& kind, Framing framing, const char* version, const std::string& interim, const std::string& body)
{
    std::string head
        = absl::StrCat(interim, version, " 200 OK\r\nX-Attempt-Id: me\r\nX-Server-Seal: s\r\nContent-Type: ",
            kind.isStream ? "text/event-stream" : "text/plain", "\r\n");
    std::string framed = body;
    if (framing == Framing::Length)
        absl::StrAppend(&head, "Content-Length: ", body.size(), "\r\n");
    if (framing == Framing::Chunks) {
        absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
        const auto chunk
            = [](const std::string& bytes) { return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"); };
        const std::size_t first = std::min(body.size(), Events[0].size());
        framed = "0\r\n\r\n";
        for (const std::string& part : { body.substr(first), body.substr(0, first) })
            framed.insert(0, part.empty() ? std::string() : chunk(part));
    }
    head += "\r\n";
    return { head + framed, head.size() };
}

ServerAnswer answerOf(const Kind& kind, Framing framing, const char* version, const std::string& interim)
{
    return answerOf(kind, framing, version, interim, bodyOf(kind));
}

/// @param cut  what another server sent before
/// @return the whole answer of a server that is sent the same call, or the rest of a stream
std::string nextAnswer(const Kind& kind, const std::string& cut)
{
    std::string rest = bodyOf(kind);
    for (const std::string& event : Events) {
        if (kind.isStream && absl::StrContains(cut, event))
            rest.erase(0, event.size());
    }
    return answerOf(kind, Framing::Chunks, "HTTP/1.1", "", rest).bytes;
}

std::string requestOf(const Kind& kind, const char* version)
{
    std::string request = requestTo(kind.path);
    request.replace(request.find("HTTP/1.1"), 8, version);
    return request;
}

/// What a caller takes from the bytes that it received.
struct Reading {
    unsigned status = 0;
    bool isWhole = false;
    std::string body;
    bool isSuccess() const { return status >= 200 && status < 300; }
};

Reading readingOf(const CallOutcome& outcome)
{
    Reading reading;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    std::size_t used = 0;
    while (!error && !parser.is_done() && used < outcome.answer.size())
        used += parser.put(net::buffer(outcome.answer.data() + used, outcome.answer.size() - used), error);
    if (!parser.is_header_done())
        return reading;
    if (!parser.is_done() && parser.need_eof() && outcome.hasEndedInOrder)
        parser.put_eof(error);
    reading.status = parser.get().result_int();
    reading.isWhole = parser.is_done();
    reading.body = parser.get().body();
    return reading;
}

/// Checks what must hold after any answer that the server cut short.
/// @param mustSucceed  the call may be repeated, and a later answer is whole
void checkCutAnswer(const Kind& kind, const CallOutcome& outcome, bool mustSucceed, const std::string& row)
{
    const Reading reading = readingOf(outcome);
    const std::string text = absl::StrCat(row, ": ", outcome.answer);
    const bool looksWhole = reading.isSuccess() && reading.isWhole;
    if (!kind.isRepeatable) {
        CHECK_FALSE_TEXT(looksWhole, text.c_str());
        CHECK_EQUAL_TEXT(1U, outcome.requests, text.c_str());
    }
    if (looksWhole)
        CHECK_TRUE_TEXT(reading.body == bodyOf(kind), text.c_str());
    if (mustSucceed)
        CHECK_TRUE_TEXT(looksWhole, text.c_str());
    if (reading.isSuccess())
        CHECK_TRUE_TEXT(absl::StartsWith(bodyOf(kind), reading.body), text.c_str());
}

/// How the row of a table differs from an HTTP/1.1 caller and an HTTP/1.1 server.
struct Versions {
    const char* caller;
    const char* server;
    std::string interim;
};

/// Runs one attempt at a plain service whose only answer is scripted.
/// @return the events that were posted
std::vector<EventBody> callService(const std::string& answer, ConnectionEnd end)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, { answer }, end);
    std::vector<EventBody> events;
    HttpBackendClient client(context, "owner", [&](EventBody event) {
        const bool isLast = !std::holds_alternative<event::TokenReceived>(event);
        events.push_back(std::move(event));
        if (isLast)
            context.stop();
    });
    effect::StartAttempt attempt;
    attempt.attempt = AttemptId(1);
    attempt.kind = PipelineKind::Service;
    attempt.prompt = toJson(ServiceCall());
    attempt.chain = *Chain::make(1, { { BackendId("x"), server.address(), LayerRange { 0, 1 }, Generation(1) } });
    BackendClient& starter = client;
    starter.start(attempt);
    context.run_for(std::chrono::seconds(3));
    return events;
}

/// Sends a request to a server whose only answer is scripted.
/// @param streams   whether to use stream() instead of call()
/// @param received  set to the body
HttpAnswer requestFrom(const std::string& answer, ConnectionEnd end, bool streams, std::string& received)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, { answer }, end);
    HttpClient client(context);
    HttpCall call;
    call.address = server.address();
    HttpAnswer result;
    const auto run = [&]() -> Awaitable<void> {
        HttpClient::Receive receive = [&](std::string_view bytes) {
            received.append(bytes);
            return true;
        };
        if (streams)
            result = co_await client.stream(call, std::chrono::seconds(1), std::move(receive), nullptr);
        else
            result = co_await client.call(call);
    };
    net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(3));
    received += result.body;
    return result;
}

} // namespace

TEST_GROUP(CutHead) {};

TEST(CutHead, AnAnswerCutAtAnyByteDoesNotLookWhole)
{
    const Versions all[] = { { "HTTP/1.1", "HTTP/1.1", "" }, { "HTTP/1.0", "HTTP/1.0", "" },
        { "HTTP/1.0", "HTTP/1.1", Interim }, { "HTTP/1.1", "HTTP/1.0", "" }, { "HTTP/1.1", "HTTP/1.1", Interim } };
    std::size_t offset = 0;
    for (const Versions& versions : all) {
        const bool isFirst = &versions == &all[0];
        for (const Kind& kind : AllKinds) {
            const std::size_t step = kind.isSlow() ? (isFirst ? 61 : 251) : (isFirst ? 1 : 5);
            for (const Framing framing : AllFramings) {
                for (const ConnectionEnd end : { ConnectionEnd::Closed, ConnectionEnd::Reset }) {
                    const ServerAnswer answer = answerOf(kind, framing, versions.server, versions.interim);
                    offset += 7;
                    for (std::size_t cut = 1 + (offset % step); cut < answer.bytes.size(); cut += step) {
                        const bool isUnproven
                            = framing == Framing::Connection && cut >= answer.headBytes && end == ConnectionEnd::Closed;
                        if (isUnproven)
                            continue;
                        const std::string bytes = answer.bytes.substr(0, cut);
                        const CallOutcome outcome = runCall(requestOf(kind, versions.caller),
                            { bytes, nextAnswer(kind, bytes) }, std::nullopt, CheckAnswer::Alive, end);
                        checkCutAnswer(kind, outcome, kind.isRepeatable,
                            absl::StrCat(kind.path, " ", versions.caller, " ", versions.server, " ", nameOf(framing),
                                end == ConnectionEnd::Reset ? " reset " : " closed ", cut));
                    }
                }
            }
        }
    }
}

TEST(CutHead, AnAnswerWithoutLengthOfAServerThatLivesIsWhole)
{
    for (const char* version : { "HTTP/1.1", "HTTP/1.0" }) {
        for (const Kind& kind : AllKinds) {
            const ServerAnswer answer = answerOf(kind, Framing::Connection, version, "");
            const CallOutcome outcome = runCall(requestOf(kind, version), { answer.bytes });
            const Reading reading = readingOf(outcome);
            const std::string text = absl::StrCat(kind.path, " ", version, ": ", outcome.answer);
            CHECK_TRUE_TEXT(reading.isSuccess() && reading.isWhole, text.c_str());
            CHECK_TRUE_TEXT(reading.body == bodyOf(kind), text.c_str());
            CHECK_EQUAL_TEXT(1U, outcome.requests, text.c_str());
        }
    }
}

TEST(CutHead, AHeadThatIsCutOrMalformedIsNoAnswer)
{
    const std::string head = answerHead("200 OK");
    const struct {
        const char* name;
        std::string answer;
    } cases[] = {
        { "status line alone", "HTTP/1.1 200 OK\r\n" },
        { "status line without its end", "HTTP/1.1 200 OK" },
        { "half a status", "HTTP/1.1 20" },
        { "right before the blank line", head + "Content-Length: 0\r\n" },
        { "inside the blank line", head + "Content-Length: 0\r\n\r" },
        { "cut length", head + "Content-Length: 8" },
        { "cut length with the end of its line", head + "Content-Length: 8\r\n" },
        { "cut name", head + "Content-Le" },
        { "cut coding", head + "Transfer-Encoding: chu" },
        { "cut coding with a blank line", head + "Transfer-Encoding: chu\r\n\r\n" },
        { "cut coding with a body", head + "Transfer-Encoding: chu\r\n\r\nbody" },
        { "unknown coding", head + "Transfer-Encoding: gzip\r\n\r\nbody" },
        { "length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody" },
        { "two lengths", head + "Content-Length: 8\r\nContent-Length: 4\r\n\r\nbody" },
        { "LF only", "HTTP/1.1 200 OK\nX-Attempt-Id: me\nX-Server-Seal: s\nContent-Length: 4\n\nbody" },
        { "LF only without a body", "HTTP/1.1 200 OK\nX-Attempt-Id: me\nX-Server-Seal: s\n" },
        { "LF before the blank line", head + "Content-Length: 4\n\r\nbody" },
        { "interim answer alone", Interim },
        { "cut interim answer", Interim.substr(0, Interim.size() - 2) },
        { "interim answer and status line", Interim + "HTTP/1.1 200 OK\r\n" },
        { "cut head of an interim answer with the id", "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: me\r\n" },
        { "switched protocols", "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: me\r\n\r\nbody" },
        { "no status line", "X-Attempt-Id: me\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody" },
        { "blank line alone", "\r\n" },
    };
    for (const auto& each : cases) {
        for (const Kind& kind : AllKinds) {
            for (const ConnectionEnd end : { ConnectionEnd::Closed, ConnectionEnd::Reset }) {
                if (kind.isSlow() && end == ConnectionEnd::Reset)
                    continue;
                const CallOutcome outcome = runCall(
                    requestTo(kind.path), { each.answer, nextAnswer(kind, {}) }, std::nullopt, CheckAnswer::Alive, end);
                checkCutAnswer(kind, outcome, kind.isRepeatable, absl::StrCat(each.name, " ", kind.path));
            }
        }
    }
}

TEST(CutHead, HttpClientTakesNoAnswerThatIsCutAtAnyByteForWhole)
{
    const Kind& kind = AllKinds[0];
    for (const char* version : { "HTTP/1.1", "HTTP/1.0" }) {
        for (const std::string& interim : { std::string(), Interim }) {
            for (const Framing framing : AllFramings) {
                for (const ConnectionEnd end : { ConnectionEnd::Closed, ConnectionEnd::Reset }) {
                    for (const bool streams : { false, true }) {
                        const ServerAnswer answer = answerOf(kind, framing, version, interim);
                        for (std::size_t cut = 0; cut <= answer.bytes.size(); ++cut) {
                            std::string received;
                            const HttpAnswer read = requestFrom(answer.bytes.substr(0, cut), end, streams, received);
                            const std::string row = absl::StrCat(version, " ", interim.size(), " ", nameOf(framing),
                                end == ConnectionEnd::Reset ? " reset " : " closed ", streams, " ", cut);
                            const bool isUnproven = framing == Framing::Connection && cut >= answer.headBytes
                                && end == ConnectionEnd::Closed;
                            const bool isWhole = framing != Framing::Connection && cut == answer.bytes.size();
                            const BodyEnd expected = isWhole ? BodyEnd::Framed
                                : isUnproven                 ? BodyEnd::ConnectionClosed
                                                             : BodyEnd::Missing;
                            CHECK_TRUE_TEXT(read.end == expected, row.c_str());
                            CHECK_EQUAL_TEXT(isWhole || isUnproven, read.phase == CallPhase::Answered, row.c_str());
                            CHECK_TRUE_TEXT(absl::StartsWith(bodyOf(kind), received), row.c_str());
                            if (cut < answer.headBytes)
                                CHECK_EQUAL_TEXT(0U, read.status, row.c_str());
                            if (isWhole)
                                CHECK_TRUE_TEXT(read.status == 200 && received == bodyOf(kind), row.c_str());
                        }
                    }
                }
            }
        }
    }
}

TEST(CutHead, HttpClientTakesNoMalformedHeadForAnAnswer)
{
    const std::string head = answerHead("200 OK");
    for (const std::string& answer : { std::string("HTTP/1.1 200 OK\r\n"), head + "Transfer-Encoding: chu\r\n\r\n",
             head + "Transfer-Encoding: gzip\r\n\r\nbody", head + "Content-Length: 8\r\nContent-Length: 4\r\n\r\nbody",
             std::string("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"), Interim, std::string("\r\n") }) {
        for (const bool streams : { false, true }) {
            std::string received;
            const HttpAnswer read = requestFrom(answer, ConnectionEnd::Closed, streams, received);
            CHECK_TRUE_TEXT(read.phase == CallPhase::Sent && read.end == BodyEnd::Missing, answer.c_str());
            CHECK_EQUAL_TEXT(0U, read.status, answer.c_str());
        }
    }
}

TEST(CutHead, HttpBackendClientTakesNoAnswerThatIsCutAtAnyByteForWhole)
{
    const Kind& kind = AllKinds[0];
    for (const std::string& interim : { std::string(), Interim }) {
        for (const Framing framing : AllFramings) {
            for (const ConnectionEnd end : { ConnectionEnd::Closed, ConnectionEnd::Reset }) {
                const ServerAnswer answer = answerOf(kind, framing, "HTTP/1.1", interim);
                for (std::size_t cut = 1; cut <= answer.bytes.size(); ++cut) {
                    const std::vector<EventBody> events = callService(answer.bytes.substr(0, cut), end);
                    const std::string row = absl::StrCat(interim.size(), " ", nameOf(framing),
                        end == ConnectionEnd::Reset ? " reset " : " closed ", cut);
                    const bool isUnproven
                        = framing == Framing::Connection && cut >= answer.headBytes && end == ConnectionEnd::Closed;
                    const bool isWhole = framing != Framing::Connection && cut == answer.bytes.size();
                    if (!isWhole && !isUnproven) {
                        CHECK_EQUAL_TEXT(1U, events.size(), row.c_str());
                        const auto* failed = std::get_if<event::AttemptFailed>(&events.front());
                        CHECK_TRUE_TEXT(failed && failed->run == RunState::MayHaveRun, row.c_str());
                        continue;
                    }
                    CHECK_EQUAL_TEXT(2U, events.size(), row.c_str());
                    const auto* token = std::get_if<event::TokenReceived>(&events.front());
                    CHECK_TRUE_TEXT(token && std::holds_alternative<event::AttemptEnded>(events.back()), row.c_str());
                    const ServiceAnswer read = serviceAnswerFromJson(token->text);
                    CHECK_EQUAL_TEXT(isWhole, read.isEndProven, row.c_str());
                    CHECK_TRUE_TEXT(absl::StartsWith(bodyOf(kind), read.body), row.c_str());
                    CHECK_TRUE_TEXT(!isWhole || read.body == bodyOf(kind), row.c_str());
                }
            }
        }
    }
}
