#include "shell/CallStory.h"

#include "shell/Json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// What is believed of an engine matters from so long before the call's first line until its last.
    constexpr std::int64_t BeliefLeadMs = 2000;

    /// @return the engine that a line of state is about; empty if it is about none
    std::string engineOf(const json::object& line)
    {
        const std::string what = textOf(line, "what");
        if (what == "server" || what == "server_gone")
            return textOf(line, "server");
        return what == "engine_checked" || what == "order" ? textOf(line, "engine") : std::string();
    }

    std::int64_t timeOf(const json::object& line) { return numberOf(line, "time_ms"); }

    /// @return what the call has in common with its repeats, as its lines say; empty if none does
    std::string requestOf(const std::vector<json::object>& lines)
    {
        for (const json::object& line : lines) {
            if (std::string request = textOf(line, "request"); !request.empty())
                return request;
        }
        return {};
    }

    void sortByTime(std::vector<json::object>& lines)
    {
        std::stable_sort(
            lines.begin(), lines.end(), [](const auto& a, const auto& b) { return timeOf(a) < timeOf(b); });
    }

} // namespace

CallStory::CallStory(std::string call)
    : m_call(std::move(call))
{
}

void CallStory::take(std::string_view text)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string_view::npos) {
        m_unreadable += text.empty() ? 0 : 1;
        return;
    }
    json::object line = parseObject(std::string(text.substr(begin)));
    if (!timeOf(line)) {
        ++m_unreadable;
        return;
    }
    if (textOf(line, "call") == m_call)
        m_lines.push_back(std::move(line));
    else if (textOf(line, "call").empty() && !textOf(line, "request").empty())
        m_verdicts.push_back(std::move(line));
    else if (!engineOf(line).empty())
        m_beliefs.push_back(std::move(line));
}

std::set<std::string> CallStory::engines() const
{
    std::set<std::string> engines;
    for (const json::object& line : m_lines) {
        if (const std::string server = textOf(line, "server"); !server.empty())
            engines.insert(server);
        const std::string chain = textOf(line, "chain");
        for (const absl::string_view hop : absl::StrSplit(chain, ',', absl::SkipEmpty()))
            engines.insert(std::string(hop.substr(0, hop.find('='))));
    }
    return engines;
}

std::vector<json::object> CallStory::lines() const
{
    std::vector<json::object> all = m_lines;
    sortByTime(all);
    if (all.empty())
        return all;
    const std::int64_t first = timeOf(all.front());
    const std::int64_t last = timeOf(all.back());
    const std::set<std::string> used = engines();
    std::set<std::string> instances;
    for (const json::object& line : m_lines)
        instances.insert(textOf(line, "instance"));
    for (const json::object& belief : m_beliefs) {
        const std::int64_t time = timeOf(belief);
        const bool concerns = instances.count(textOf(belief, "instance")) || textOf(belief, "what") == "order";
        if (concerns && time >= first - BeliefLeadMs && time <= last && used.count(engineOf(belief)))
            all.push_back(belief);
    }
    const std::string request = requestOf(m_lines);
    for (const json::object& verdict : m_verdicts) {
        if (!request.empty() && textOf(verdict, "request") == request && timeOf(verdict) <= last)
            all.push_back(verdict);
    }
    sortByTime(all);
    for (json::object& line : all)
        line["since_ms"] = timeOf(line) - first;
    return all;
}

std::string CallStory::text() const
{
    std::string text;
    for (const json::object& line : lines()) {
        absl::StrAppend(
            &text, numberOf(line, "since_ms"), " ms  ", textOf(line, "instance"), "  ", textOf(line, "what"));
        for (const auto& [name, value] : line) {
            const bool shown = name == "time_ms" || name == "instance" || name == "what" || name == "call";
            if (!shown && name != "since_ms")
                absl::StrAppend(&text, "  ", std::string(name), "=", json::serialize(value));
        }
        absl::StrAppend(&text, "\n");
    }
    return text;
}

} // namespace crocusmount
