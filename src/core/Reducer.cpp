#include "crocusmount/Reducer.h"

#include "core/ReducerState.h"

namespace crocusmount {

Reducer::Reducer(std::unique_ptr<ReducerState> state)
    : m_state(std::move(state))
{
}

Reducer::~Reducer() = default;

absl::StatusOr<std::unique_ptr<Reducer>> Reducer::make(const ReducerOptions& options)
{
    if (options.self.instance.value().empty())
        return absl::InvalidArgumentError("self.instance is empty");
    if (!options.claimShards)
        return absl::InvalidArgumentError("claimShards is 0");
    if (!options.maxAttempts)
        return absl::InvalidArgumentError("maxAttempts is 0");
    auto picker = ChainPicker::make(options.picker);
    if (!picker)
        return absl::InvalidArgumentError("picker '" + options.picker + "' is not known");
    return std::unique_ptr<Reducer>(new Reducer(std::make_unique<ReducerState>(options, std::move(picker))));
}

void Reducer::reduce(const Event& event, Effects& effects) { m_state->reduce(event, effects); }

const Counters& Reducer::counters() const { return m_state->counters(); }

const Configuration& Reducer::configuration() const { return m_state->configuration(); }

ConfigurationChange Reducer::configurationSince(Revision revision) const
{
    return m_state->configurationSince(revision);
}

std::vector<MemberUpdate> Reducer::members() const { return m_state->membership().members(); }

std::vector<BackendNews> Reducer::backends(TimePoint now) const { return m_state->backends().news(now); }

std::size_t Reducer::openRequests() const { return m_state->requests().openRequestCount(); }

bool Reducer::isDraining() const { return m_state->isDraining(); }

std::vector<MemberUpdate> Reducer::entriesFor(const WorkspaceId& workspace) const
{
    return m_state->entriesFor(workspace);
}

} // namespace crocusmount
