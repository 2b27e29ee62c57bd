#include "load/LoadReport.h"

#include "load/LoadRun.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// @param fraction  0 for the minimum, 0.5 for the median, 1 for the maximum
    /// @return the percentile, or 0 if there are no values
    double percentile(std::vector<double> values, double fraction)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
        return values[index];
    }

    /// @return number, percentiles and maximum of the values
    json::object summaryOf(const std::vector<double>& values)
    {
        return { { "count", values.size() }, { "p50", percentile(values, 0.5) }, { "p95", percentile(values, 0.95) },
            { "p99", percentile(values, 0.99) }, { "max", percentile(values, 1) } };
    }

    /// Measures how long a fault interrupted streams.
    /// @param faultMs  time of the fault, in milliseconds since the start of the run
    /// @return for each stream open at the fault, the longest token gap that ended after the fault, in milliseconds
    std::vector<double> longestGapsAcross(const LoadRun& run, double faultMs)
    {
        std::vector<double> longestGaps;
        for (const auto& record : run.records()) {
            if (record->startMs > faultMs || record->endMs < faultMs || record->tokenMs.size() < 2)
                continue;
            double longest = 0;
            for (std::size_t i = 1; i < record->tokenMs.size(); ++i) {
                if (record->tokenMs[i] > faultMs)
                    longest = std::max(longest, record->tokenMs[i] - record->tokenMs[i - 1]);
            }
            if (longest > 0)
                longestGaps.push_back(longest);
        }
        return longestGaps;
    }

    /// @return the number of tokens and of completed answers in each second of the run. The tokens of an answer that is
    ///         not streamed count at its end
    json::array timelineOf(const LoadRun& run)
    {
        std::vector<std::uint64_t> tokenCount;
        std::vector<std::uint64_t> completed;
        const auto addToBin = [](std::vector<std::uint64_t>& bins, double ms, std::uint64_t count) {
            const auto bin = static_cast<std::size_t>(ms / 1000);
            if (bins.size() <= bin)
                bins.resize(bin + 1);
            bins[bin] += count;
        };
        for (const auto& record : run.records()) {
            for (const double ms : record->tokenMs)
                addToBin(tokenCount, ms, 1);
            if (record->outcome == "complete") {
                addToBin(completed, record->endMs, 1);
                if (record->tokenMs.empty())
                    addToBin(tokenCount, record->endMs, record->tokens);
            }
        }
        json::array timeline;
        for (std::size_t second = 0; second < std::max(tokenCount.size(), completed.size()); ++second) {
            timeline.push_back(
                { { "second", second }, { "tokens", second < tokenCount.size() ? tokenCount[second] : 0 },
                    { "complete", second < completed.size() ? completed[second] : 0 } });
        }
        return timeline;
    }

} // namespace

LoadReport reportOf(const LoadRun& run)
{
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::vector<double>> firstToken;
    std::map<std::string, std::vector<double>> total;
    std::vector<double> tokenGaps;
    std::uint64_t tokenCount = 0;
    std::uint64_t doubleRuns = 0;
    std::uint64_t falseNotRun = 0;
    double lastMs = 1;
    for (const auto& record : run.records()) {
        ++outcomes[record->outcome];
        lastMs = std::max(lastMs, record->endMs);
        for (std::size_t i = 1; i < record->tokenMs.size(); ++i)
            tokenGaps.push_back(record->tokenMs[i] - record->tokenMs[i - 1]);
        const auto ledgerEntry = run.ledger().find(record->prompt);
        const std::uint64_t runCount = ledgerEntry == run.ledger().end() ? 0 : ledgerEntry->second;
        doubleRuns += record->once && runCount > 1 ? 1 : 0;
        falseNotRun += record->run == "not_run" && record->outcome != "complete" && runCount > 0 ? 1 : 0;
        if (record->outcome != "complete")
            continue;
        tokenCount += record->tokens;
        firstToken[record->pipeline].push_back(record->firstTokenMs);
        total[record->pipeline].push_back(record->endMs - record->startMs);
    }
    json::object body { { "name", run.experiment().name }, { "seed", run.experiment().seed },
        { "requests", run.records().size() }, { "complete", outcomes["complete"] }, { "lost", outcomes["lost"] },
        { "wrong", outcomes["wrong"] }, { "doubled", doubleRuns }, { "falseNotRun", falseNotRun },
        { "tokensPerSecond", static_cast<double>(tokenCount) * 1000 / lastMs },
        { "tokenGapMs", summaryOf(tokenGaps) } };
    json::object incompleteCounts;
    for (const auto& [outcome, count] : outcomes) {
        if (count && outcome != "complete")
            incompleteCounts[outcome] = count;
    }
    body["notComplete"] = std::move(incompleteCounts);
    json::object pipelines;
    std::string table = absl::StrFormat("requests %d  complete %d  lost %d  wrong %d  doubled %d  false not-run %d\n",
        run.records().size(), outcomes["complete"], outcomes["lost"], outcomes["wrong"], doubleRuns, falseNotRun);
    for (const auto& [outcome, count] : outcomes) {
        if (count && outcome != "complete")
            absl::StrAppendFormat(&table, "  not complete: %s %d\n", outcome, count);
    }
    absl::StrAppendFormat(&table, "tokens/s %.0f  token gap ms p50 %.2f p95 %.2f p99 %.2f\n",
        static_cast<double>(tokenCount) * 1000 / lastMs, percentile(tokenGaps, 0.5), percentile(tokenGaps, 0.95),
        percentile(tokenGaps, 0.99));
    for (const auto& [pipeline, values] : total) {
        pipelines[pipeline] = { { "firstTokenMs", summaryOf(firstToken[pipeline]) }, { "totalMs", summaryOf(values) } };
        absl::StrAppendFormat(&table, "%s: first token ms p50 %.1f p95 %.1f p99 %.1f; total ms p50 %.1f p99 %.1f\n",
            pipeline, percentile(firstToken[pipeline], 0.5), percentile(firstToken[pipeline], 0.95),
            percentile(firstToken[pipeline], 0.99), percentile(values, 0.5), percentile(values, 0.99));
    }
    body["pipelines"] = std::move(pipelines);
    json::array faults;
    for (const Experiment::Fault& fault : run.experiment().faults) {
        const auto longestGaps = longestGapsAcross(run, static_cast<double>(fault.atMs));
        faults.push_back({ { "atMs", fault.atMs }, { "address", fault.address }, { "body", fault.body },
            { "longestTokenGapMs", summaryOf(longestGaps) } });
        absl::StrAppendFormat(&table,
            "fault at %d ms %s: %d open streams, longest wait for a token ms p50 %.0f p99 %.0f max %.0f\n", fault.atMs,
            fault.body, longestGaps.size(), percentile(longestGaps, 0.5), percentile(longestGaps, 0.99),
            percentile(longestGaps, 1));
    }
    body["faults"] = std::move(faults);
    body["timeline"] = timelineOf(run);
    LoadReport report;
    report.json = json::serialize(body);
    report.table = std::move(table);
    report.broken = outcomes["lost"] + outcomes["wrong"] + doubleRuns + falseNotRun;
    return report;
}

} // namespace crocusmount
