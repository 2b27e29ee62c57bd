#include "relay/NamedStages.h"

namespace crocusmount::relay {

namespace {

    /// How long a named stage is avoided. A check answers, or fails, in a fraction of this.
    constexpr Duration NamedAvoidance = std::chrono::milliseconds(500);
    constexpr std::size_t ConfirmingFirstStages = 2;
    constexpr std::size_t ConfirmingStreams = 3;

} // namespace

void NamedStages::record(const BackendId& stage, const BackendId& firstStage, RequestId stream, TimePoint now)
{
    std::erase_if(m_namings, [&](const auto& each) { return now >= each.second.until; });
    Naming& naming = m_namings[stage];
    naming.until = now + NamedAvoidance;
    naming.firstStages.insert(firstStage);
    naming.streams.insert(stream);
}

void NamedStages::clearEvidence(const BackendId& stage)
{
    const auto found = m_namings.find(stage);
    if (found == m_namings.end())
        return;
    found->second.firstStages.clear();
    found->second.streams.clear();
}

std::vector<BackendId> NamedStages::avoided(TimePoint now) const
{
    std::vector<BackendId> stages;
    for (const auto& [stage, naming] : m_namings) {
        if (now < naming.until)
            stages.push_back(stage);
    }
    return stages;
}

bool NamedStages::isConfirmed(const BackendId& stage, TimePoint now) const
{
    const auto found = m_namings.find(stage);
    return found != m_namings.end() && now < found->second.until
        && (found->second.firstStages.size() >= ConfirmingFirstStages
            || found->second.streams.size() >= ConfirmingStreams);
}

} // namespace crocusmount::relay
