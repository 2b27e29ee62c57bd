#include "relay/AnswerEnding.h"
#include "edge/EventSplitter.h"
#include "tests/RelayLoopback.h"
#include "tests/Tests.h"

#include <absl/strings/str_cat.h>

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

const std::string FirstEvent = "id: 1\ndata: a\n\n";
const std::string SecondEvent = "id: 2\ndata: b\n\n";
const std::string LastChunk = "\r\n0\r\n\r\n";

enum class Framing { Connection, Http10, Chunks, Length };
constexpr Framing AllFramings[] = { Framing::Connection, Framing::Http10, Framing::Chunks, Framing::Length };

const char* nameOf(Framing framing)
{
    switch (framing) {
    case Framing::Connection:
        return "without length";
    case Framing::Http10:
        return "HTTP/1.0";
    case Framing::Chunks:
        return "chunks";
    case Framing::Length:
        return "length";
    }
    return "framing";
}

/// @return a stream that is complete as far as its framing tells
std::string streamOf(Framing framing, const std::string& body)
{
    const std::string type = "Content-Type: text/event-stream\r\n";
    const std::string head = answerHead("200 OK") + type;
    switch (framing) {
    case Framing::Connection:
        return head + "\r\n" + body;
    case Framing::Http10: {
        std::string older = head;
        older.replace(0, 8, "HTTP/1.0");
        return older + "\r\n" + body;
    }
    case Framing::Chunks: {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", body.size());
        const std::string chunk = body.empty() ? std::string() : size + body + "\r\n";
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n";
    }
    case Framing::Length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    return {};
}

bool endsWith(const std::string& text, const std::string& end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

bool isComplete(const std::string& answer) { return hasText(answer, LastChunk); }

} // namespace

TEST_GROUP(AnswerEnding) {};

TEST(AnswerEnding, AStreamCutInsideAnEventIsNotDeliveredAsComplete)
{
    for (const Framing framing : AllFramings) {
        for (const std::size_t rest : { 1U, 5U, 9U, unsigned(SecondEvent.size() - 1) }) {
            const std::string cut = FirstEvent + SecondEvent.substr(0, rest);
            const CallOutcome result = runCall(requestTo("/once/1"), { streamOf(framing, cut) });
            const std::string text = nameOf(framing) + (": " + result.answer);
            CHECK_TRUE_TEXT(endsWith(result.answer, FirstEvent + "\r\n"), text.c_str());
            CHECK_FALSE_TEXT(isComplete(result.answer), text.c_str());
        }
    }
}

TEST(AnswerEnding, AStreamCutInsideItsFirstEventIsNotDeliveredAsComplete)
{
    for (const Framing framing : AllFramings) {
        const CallOutcome result = runCall(requestTo("/once/1"), { streamOf(framing, FirstEvent.substr(0, 8)) });
        const std::string text = nameOf(framing) + (": " + result.answer);
        CHECK_TRUE_TEXT(hasText(result.answer, "HTTP/1.1 502"), text.c_str());
        CHECK_TRUE_TEXT(hasText(result.answer, "may_have_run"), text.c_str());
    }
}

TEST(AnswerEnding, AResumableStreamCutInsideAnEventIsCompletedByAnotherAttempt)
{
    for (const Framing framing : AllFramings) {
        const CallOutcome result = runCall(requestTo("/draft/1"),
            { streamOf(framing, FirstEvent + SecondEvent.substr(0, 9)), streamOf(Framing::Chunks, SecondEvent) });
        const std::string text = nameOf(framing) + (": " + result.answer);
        CHECK_EQUAL_TEXT(2U, result.requests, text.c_str());
        CHECK_TRUE_TEXT(isComplete(result.answer), text.c_str());
        const std::size_t first = result.answer.find("id: 2");
        CHECK_TRUE_TEXT(hasText(result.answer, SecondEvent), text.c_str());
        CHECK_TRUE_TEXT(result.answer.find("id: 2", first + 1) == std::string::npos, text.c_str());
    }
}

// A connection that a crash closes ends like one that a server closes after its answer.
TEST(AnswerEnding, AnEndThatACrashAlsoMakesIsNoProof)
{
    using enum AnswerFraming;
    using enum AnswerStop;
    const struct {
        const char* name;
        AnswerEnding ending;
        Completeness completeness;
    } cases[] = {
        { "last chunk", { Chunks, EndOfMessage, true, false, false, 3 }, Completeness::Complete },
        { "length reached", { Length, EndOfMessage, true, false, false, 3 }, Completeness::Complete },
        { "last chunk without events", { Chunks, EndOfMessage, true, false, false, 0 }, Completeness::Complete },
        { "closed after an event", { Connection, Closed, true, false, false, 3 }, Completeness::Unproven },
        { "closed without events", { Connection, Closed, true, false, false, 0 }, Completeness::BrokenOff },
        { "continuation closed without events", { Connection, Closed, true, true, false, 0 }, Completeness::Unproven },
        { "closed inside an event", { Connection, Closed, true, false, true, 3 }, Completeness::BrokenOff },
        { "last chunk inside an event", { Chunks, EndOfMessage, true, false, true, 3 }, Completeness::BrokenOff },
        { "length reached inside an event", { Length, EndOfMessage, true, false, true, 3 }, Completeness::BrokenOff },
        { "closed before the last chunk", { Chunks, Closed, true, false, false, 3 }, Completeness::BrokenOff },
        { "closed before the length", { Length, Closed, true, false, false, 3 }, Completeness::BrokenOff },
        { "reset after an event", { Connection, Aborted, true, false, false, 3 }, Completeness::BrokenOff },
        { "whole answer, closed", { Connection, Closed, false, false, false, 0 }, Completeness::Unproven },
        { "whole answer, reset", { Connection, Aborted, false, false, false, 0 }, Completeness::BrokenOff },
        { "whole answer, closed before the length", { Length, Closed, false, false, false, 0 },
            Completeness::BrokenOff },
    };
    for (const auto& each : cases)
        CHECK_TRUE_TEXT(completenessOf(each.ending) == each.completeness, each.name);
}

TEST(AnswerEnding, BytesAreInsideAnEventUntilItsBlankLineIsWhole)
{
    const struct {
        const char* bytes;
        unsigned events;
        bool isInside;
    } cases[] = {
        { "", 0, false },
        { "d", 0, true },
        { "data: a", 0, true },
        { "data: a\n", 0, true },
        { "data: a\n\n", 1, false },
        { "data: a\r\n", 0, true },
        { "data: a\r\n\r", 0, true },
        { "data: a\r\n\r\n", 1, false },
        { "data: a\r", 0, true },
        { "data: a\r\r", 1, false },
        { "data: a\r\rdata: b\r\r", 2, false },
        { "data: a\n\r\n", 1, false },
        { "data: a\n\n\n", 1, false },
        { "data: a\r\n\r\n\r", 1, false },
        { "data: a\n\n: keep-alive\n", 1, false },
        { "data: a\n\n: keep-ali", 1, true },
        { "data: a\n\nid", 1, true },
        { "data: a\n\n:x\nid: 2\n", 1, true },
    };
    for (const auto& each : cases) {
        EventSplitter splitter;
        splitter.feed(each.bytes);
        unsigned events = 0;
        while (splitter.next())
            ++events;
        CHECK_EQUAL_TEXT(each.events, events, each.bytes);
        CHECK_EQUAL_TEXT(each.isInside, splitter.isInsideEvent(), each.bytes);
    }
}

TEST(AnswerEnding, AStreamCutAtAnyByteIsCompleteAtMostAtTheEndOfAnEvent)
{
    const std::string eventWithCrLf = "id: 2\r\ndata: b\r\n\r\n";
    const std::string stream = FirstEvent + eventWithCrLf + "id: 3\ndata: c\n\n";
    for (const Framing framing : AllFramings) {
        for (std::size_t cut = 0; cut < stream.size(); ++cut) {
            const bool isAtEnd = cut == FirstEvent.size() || cut == FirstEvent.size() + eventWithCrLf.size();
            if (isAtEnd || (cut == 0 && framing != Framing::Connection && framing != Framing::Http10))
                continue;
            const CallOutcome result = runCall(requestTo("/once/1"), { streamOf(framing, stream.substr(0, cut)) });
            CHECK_FALSE_TEXT(isComplete(result.answer), (nameOf(framing) + (": " + result.answer)).c_str());
        }
    }
}

TEST(AnswerEnding, AStreamWithoutLengthWhoseServerDiedBetweenTwoEventsIsNotDeliveredAsComplete)
{
    const std::string cut = streamOf(Framing::Connection, FirstEvent);
    const struct {
        const char* name;
        CheckAnswer check;
        bool isComplete;
    } cases[] = {
        { "alive", CheckAnswer::Alive, true },
        { "refused", CheckAnswer::Refused, false },
        { "silent", CheckAnswer::Silent, false },
    };
    for (const auto& each : cases) {
        const CallOutcome result = runCall(requestTo("/once/1"), { cut }, std::nullopt, each.check);
        const std::string text = each.name + (": " + result.answer);
        CHECK_TRUE_TEXT(hasText(result.answer, FirstEvent), text.c_str());
        CHECK_EQUAL_TEXT(each.isComplete, isComplete(result.answer), text.c_str());
    }
    const CallOutcome resumed = runCall(
        requestTo("/draft/1"), { cut, streamOf(Framing::Chunks, SecondEvent) }, std::nullopt, CheckAnswer::Silent);
    CHECK_TRUE_TEXT(isComplete(resumed.answer) && hasText(resumed.answer, SecondEvent), resumed.answer.c_str());
}

TEST(AnswerEnding, TheSpellingOfTheTypeDoesNotMakeACutStreamComplete)
{
    const struct {
        const char* path;
        const char* type;
    } cases[] = {
        { "/once/1", "Content-Type: Text/Event-Stream\r\n" },
        { "/once/1", "Content-Type: TEXT/EVENT-STREAM; charset=utf-8\r\n" },
        { "/once/1", "Content-Type: text/event-stream ;charset=utf-8\r\n" },
        { "/once/1", "" },
        { "/book/1", "Content-Type: text/event-stream\r\n" },
    };
    for (const auto& each : cases) {
        const std::string begin = absl::StrCat(answerHead("200 OK"), each.type, "\r\n", FirstEvent);
        const CallOutcome cut = runCall(requestTo(each.path), { begin + SecondEvent.substr(0, 9) });
        CHECK_FALSE_TEXT(hasText(cut.answer, "id: 2"), (each.type + cut.answer).c_str());
        CHECK_FALSE_TEXT(isComplete(cut.answer), (each.type + cut.answer).c_str());
        const CallOutcome whole = runCall(requestTo(each.path), { begin + SecondEvent });
        CHECK_TRUE_TEXT(hasText(whole.answer, SecondEvent), (each.type + whole.answer).c_str());
    }
}

TEST(AnswerEnding, EventsWhoseLinesEndWithCrAreNotDeliveredTwice)
{
    const std::string first = "id: 1\rdata: a\r\r";
    const CallOutcome result = runCall(requestTo("/draft/1"),
        { streamOf(Framing::Connection, first + "id: 2\rda"),
            streamOf(Framing::Connection, first + "id: 2\rdata: b\r\r") });
    const std::size_t at = result.answer.find("data: a");
    CHECK_TRUE_TEXT(
        at != std::string::npos && result.answer.find("data: a", at + 1) == std::string::npos, result.answer.c_str());
}

TEST(AnswerEnding, AnAnswerToHeadEndsWithItsHead)
{
    std::string request = requestTo("/book/1");
    request.replace(0, 4, "HEAD");
    const CallOutcome result = runCall(request, { answerHead("200 OK") + "Content-Length: 100\r\n\r\n" });
    CHECK_TRUE_TEXT(hasText(result.answer, "HTTP/1.1 200"), result.answer.c_str());
}
