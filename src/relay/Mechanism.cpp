#include "relay/Mechanism.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace crocusmount::relay {

namespace {

    constexpr struct {
        const char* name;
        Mechanism mechanism;
    } MechanismNames[] = {
        { "engine-checks", Mechanism::EngineChecks },
        { "closed-engines", Mechanism::ClosedEngines },
        { "dead-reports", Mechanism::DeadReports },
        { "slowness-price", Mechanism::SlownessPrice },
        { "early-replacement", Mechanism::EarlyReplacement },
        { "holder-weights", Mechanism::HolderWeights },
        { "moves", Mechanism::Moves },
        { "entry-price", Mechanism::EntryPrice },
        { "load-exchange", Mechanism::LoadExchange },
        { "others-avoidance", Mechanism::OthersAvoidance },
        { "stream-limit", Mechanism::StreamLimit },
        { "come-back-time", Mechanism::ComeBackTime },
        { "second-attempts", Mechanism::SecondAttempts },
        { "reroutes", Mechanism::Reroutes },
        { "stall-questions", Mechanism::StallQuestions },
        { "quarantine", Mechanism::Quarantine },
        { "prompt-parts", Mechanism::PromptParts },
        { "path-detection", Mechanism::PathDetection },
        { "store-feed", Mechanism::StoreFeed },
        { "start-admission", Mechanism::StartAdmission },
        { "group-losses", Mechanism::GroupLosses },
    };

} // namespace

absl::StatusOr<DisabledMechanisms> DisabledMechanisms::make(std::string_view names)
{
    DisabledMechanisms result;
    const absl::string_view text(names.data(), names.size());
    for (const absl::string_view name : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        bool isKnown = false;
        for (const auto& each : MechanismNames) {
            if (name != each.name)
                continue;
            result.m_disabled.insert(each.mechanism);
            isKnown = true;
        }
        if (!isKnown)
            return absl::InvalidArgumentError(absl::StrCat(
                "unknown mechanism \"", name, "\"; expected one of ", absl::StrJoin(mechanismNames(), ", ")));
    }
    return result;
}

DisabledMechanisms DisabledMechanisms::mergedWith(const DisabledMechanisms& other) const
{
    DisabledMechanisms merged = *this;
    merged.m_disabled.insert(other.m_disabled.begin(), other.m_disabled.end());
    return merged;
}

std::vector<std::string> mechanismNames()
{
    std::vector<std::string> names;
    for (const auto& each : MechanismNames)
        names.emplace_back(each.name);
    return names;
}

} // namespace crocusmount::relay
