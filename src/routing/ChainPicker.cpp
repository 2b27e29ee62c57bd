#include "crocusmount/ChainPicker.h"

#include "routing/Pickers.h"

namespace crocusmount {

std::optional<Chain> ChainPicker::pick(const RouteQuery& query)
{
    const Path path = onPick(query);
    if (path.empty())
        return std::nullopt;
    std::vector<Hop> hops;
    hops.reserve(path.size());
    for (const Stage* stage : path)
        hops.push_back(stage->hop);
    auto chain = Chain::make(query.layerCount, std::move(hops));
    if (!chain.ok())
        return std::nullopt;
    return *std::move(chain);
}

std::unique_ptr<ChainPicker> ChainPicker::make(std::string_view name)
{
    if (name == "flow")
        return std::make_unique<FlowPicker>();
    if (name == "random")
        return std::make_unique<RandomPicker>();
    if (name == "round_robin")
        return std::make_unique<RoundRobinPicker>();
    if (name == "least_reported")
        return std::make_unique<LeastReportedPicker>();
    if (name == "power_of_two")
        return std::make_unique<PowerOfTwoPicker>();
    return nullptr;
}

} // namespace crocusmount
