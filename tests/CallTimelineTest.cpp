#include "shell/CallTimeline.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(CallTimeline) {};

namespace {

constexpr const char* LogLines[] = {
    R"(  16.40 front-b {"time_ms":2400,"instance":"b","what":"answer","call":"c1","outcome":"completed","total_ms":400})",
    R"({"time_ms":2000,"instance":"a","what":"attempt","call":"c1","server":"i-1","chain":"i-1=0-4,i-2=4-8"})",
    R"({"time_ms":2100,"instance":"a","what":"engine_checked","engine":"i-2","answered":false,"slowness":0})",
    R"({"time_ms":2100,"instance":"a","what":"engine_checked","engine":"i-9","answered":false,"slowness":0})",
    R"({"time_ms":2150,"instance":"z","what":"engine_checked","engine":"i-2","answered":true,"slowness":1})",
    R"({"time_ms":2200,"instance":"z","what":"order","engine":"i-2","from":4,"to":8,"answer":0})",
    R"({"time_ms":2050,"instance":"a","what":"attempt","call":"c2","server":"i-1","chain":"i-1=0-4,i-2=4-8"})",
    R"({"time_ms":9000,"instance":"a","what":"server_gone","server":"i-2"})",
    R"({"time_ms":1000,"instance":"z","what":"request_quarantined","request":"d4","servers":3})",
    R"({"time_ms":1001,"instance":"z","what":"request_quarantined","request":"d5","servers":3})",
    R"({"time_ms":3000,"instance":"a","what":"answer","call":"c4","outcome":"refused","request":"d4"})",
    R"({"time_ms":900,"instance":"z","what":"server_ended_under_request","request":"d7","suspected_parts":"e1,e2"})",
    R"({"time_ms":950,"instance":"z","what":"server_ended_under_request","request":"d8","suspected_parts":"e3"})",
    R"({"time_ms":1002,"instance":"z","what":"request_quarantined","part":"e2","servers":3})",
    R"({"time_ms":1003,"instance":"z","what":"request_quarantined","part":"e3","servers":3})",
    R"({"time_ms":3000,"instance":"a","what":"answer","call":"c6","request":"d6","parts":"f1,e2","quarantined":"e2"})",
    "no log line",
};

CallTimeline storyOf(const char* call)
{
    CallTimeline story(call);
    for (const char* line : LogLines)
        story.take(line);
    return story;
}

} // namespace

TEST(CallTimeline, LinesOfACallAndOfItsEnginesAreSortedByTime)
{
    const CallTimeline story = storyOf("c1");
    CHECK_TRUE(story.isKnown());
    CHECK_EQUAL(1U, story.unreadable());
    const struct {
        const char* what;
        std::int64_t sinceMs;
    } expected[] = { { "attempt", 0 }, { "engine_checked", 100 }, { "order", 200 }, { "answer", 400 } };
    const auto lines = story.lines();
    CHECK_EQUAL(std::size(expected), lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i) {
        CHECK_TEXT(expected[i].what, std::string(lines[i].at("what").as_string()));
        CHECK_EQUAL(expected[i].sinceMs, lines[i].at("since_ms").as_int64());
    }
}

TEST(CallTimeline, QuarantineOfTheRequestIsShown)
{
    const auto lines = storyOf("c4").lines();
    CHECK_EQUAL(2U, lines.size());
    CHECK_TEXT("request_quarantined", std::string(lines[0].at("what").as_string()));
    CHECK_TEXT("d4", std::string(lines[0].at("request").as_string()));
    CHECK_EQUAL(-2000, lines[0].at("since_ms").as_int64());
    CHECK_EQUAL(0, lines[1].at("since_ms").as_int64());
}

TEST(CallTimeline, QuarantineOfAPartOfThePromptAndTheCrashesBehindItAreShown)
{
    const auto lines = storyOf("c6").lines();
    CHECK_EQUAL(3U, lines.size());
    CHECK_TEXT("server_ended_under_request", std::string(lines[0].at("what").as_string()));
    CHECK_TEXT("d7", std::string(lines[0].at("request").as_string()));
    CHECK_TEXT("e2", std::string(lines[1].at("part").as_string()));
    CHECK_TEXT("answer", std::string(lines[2].at("what").as_string()));
}

TEST(CallTimeline, TextHasOneRowPerLogLine)
{
    const std::string text = storyOf("c2").text();
    CHECK_TRUE(text.find("0 ms  a  attempt") == 0);
    CHECK_EQUAL(1, std::count(text.begin(), text.end(), '\n'));
}

TEST(CallTimeline, UnknownCallHasNoLines)
{
    const CallTimeline story = storyOf("c3");
    CHECK_FALSE(story.isKnown());
    CHECK_TRUE(story.lines().empty());
    CHECK_TEXT("", story.text());
}
