#include "shell/CallTimeline.h"

#include "shell/Json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// The timeline shows lines about engines from this many milliseconds before the first line of the call to its
    /// last.
    constexpr std::int64_t EngineStateLeadMs = 2000;

    /// @return the engine whose state or order the line logs; empty if the line is of another kind
    std::string engineOf(const json::object& line)
    {
        const std::string what = textOf(line, "what");
        if (what == "server" || what == "server_gone")
            return textOf(line, "server");
        return what == "engine_checked" || what == "order" ? textOf(line, "engine") : std::string();
    }

    /// @return the time of a line in milliseconds; zero if it has none
    std::int64_t timeOf(const json::object& line) { return numberOf(line, "time_ms"); }

    /// @return the first value of a field that is not empty; empty if there is none
    std::string firstText(const std::vector<json::object>& lines, const char* field)
    {
        for (const json::object& line : lines) {
            if (std::string text = textOf(line, field); !text.empty())
                return text;
        }
        return {};
    }

    std::set<std::string> split(const std::string& list) { return absl::StrSplit(list, ',', absl::SkipEmpty()); }

    void sortByTime(std::vector<json::object>& lines)
    {
        std::stable_sort(
            lines.begin(), lines.end(), [](const auto& a, const auto& b) { return timeOf(a) < timeOf(b); });
    }

} // namespace

CallTimeline::CallTimeline(std::string call)
    : m_call(std::move(call))
{
}

void CallTimeline::take(std::string_view rawLine)
{
    const std::size_t begin = rawLine.find('{');
    if (begin == std::string_view::npos) {
        m_unreadable += rawLine.empty() ? 0 : 1;
        return;
    }
    json::object line = parseObject(std::string(rawLine.substr(begin)));
    if (!timeOf(line)) {
        ++m_unreadable;
        return;
    }
    if (textOf(line, "call") == m_call)
        m_callLines.push_back(std::move(line));
    else if (textOf(line, "call").empty() && !(textOf(line, "request").empty() && textOf(line, "part").empty()))
        m_requestLines.push_back(std::move(line));
    else if (!engineOf(line).empty())
        m_engineLines.push_back(std::move(line));
}

std::set<std::string> CallTimeline::engines() const
{
    std::set<std::string> engines;
    for (const json::object& line : m_callLines) {
        if (const std::string server = textOf(line, "server"); !server.empty())
            engines.insert(server);
        const std::string chain = textOf(line, "chain");
        for (const absl::string_view hop : absl::StrSplit(chain, ',', absl::SkipEmpty()))
            engines.insert(std::string(hop.substr(0, hop.find('='))));
    }
    return engines;
}

std::vector<json::object> CallTimeline::lines() const
{
    std::vector<json::object> all = m_callLines;
    sortByTime(all);
    if (all.empty())
        return all;
    const std::int64_t first = timeOf(all.front());
    const std::int64_t last = timeOf(all.back());
    const std::set<std::string> usedEngines = engines();
    std::set<std::string> instances;
    for (const json::object& line : m_callLines)
        instances.insert(textOf(line, "instance"));
    for (const json::object& engineLine : m_engineLines) {
        const std::int64_t time = timeOf(engineLine);
        const bool isRelevant
            = instances.count(textOf(engineLine, "instance")) || textOf(engineLine, "what") == "order";
        if (isRelevant && time >= first - EngineStateLeadMs && time <= last && usedEngines.count(engineOf(engineLine)))
            all.push_back(engineLine);
    }
    const std::string request = firstText(m_callLines, "request");
    const std::string quarantined = firstText(m_callLines, "quarantined");
    const std::set<std::string> parts = split(firstText(m_callLines, "parts"));
    for (const json::object& requestLine : m_requestLines) {
        const bool concernsRequest = !request.empty() && textOf(requestLine, "request") == request;
        const bool concernsPart = parts.count(textOf(requestLine, "part"))
            || (!quarantined.empty() && split(textOf(requestLine, "suspected_parts")).count(quarantined));
        if ((concernsRequest || concernsPart) && timeOf(requestLine) <= last)
            all.push_back(requestLine);
    }
    sortByTime(all);
    for (json::object& line : all)
        line["since_ms"] = timeOf(line) - first;
    return all;
}

std::string CallTimeline::text() const
{
    std::string text;
    for (const json::object& line : lines()) {
        absl::StrAppend(
            &text, numberOf(line, "since_ms"), " ms  ", textOf(line, "instance"), "  ", textOf(line, "what"));
        for (const auto& [name, value] : line) {
            const bool isOmitted = name == "time_ms" || name == "instance" || name == "what" || name == "call";
            if (!isOmitted && name != "since_ms")
                absl::StrAppend(&text, "  ", std::string(name), "=", json::serialize(value));
        }
        absl::StrAppend(&text, "\n");
    }
    return text;
}

} // namespace crocusmount
