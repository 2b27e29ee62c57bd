#include "planning/FlowBound.h"

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>
#include <cmath>

namespace crocusmount {

namespace {

    using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
    using Edge = Traits::edge_descriptor;
    using Graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS, boost::no_property,
        boost::property<boost::edge_capacity_t, std::int64_t,
            boost::property<boost::edge_residual_capacity_t, std::int64_t,
                boost::property<boost::edge_reverse_t, Edge>>>>;

    /// Flows are integers, so capacities are in thousandths of a token per second.
    constexpr double UnitsPerToken = 1000;

    void addEdge(Graph& graph, std::uint32_t from, std::uint32_t to, std::int64_t capacity)
    {
        const Edge forward = boost::add_edge(from, to, graph).first;
        const Edge backward = boost::add_edge(to, from, graph).first;
        boost::put(boost::edge_capacity, graph, forward, capacity);
        boost::put(boost::edge_capacity, graph, backward, 0);
        boost::put(boost::edge_reverse, graph, forward, backward);
        boost::put(boost::edge_reverse, graph, backward, forward);
    }

} // namespace

double flowBound(std::uint32_t layerCount, const std::vector<BackendReport>& holdings)
{
    if (!layerCount)
        return 0;
    Graph graph(layerCount + 1);
    for (const BackendReport& holding : holdings) {
        if (!holding.layers.size() || holding.layers.end > layerCount || holding.stepMicros <= 0)
            continue;
        const double tokensPerSecond = 1e6 * holding.slots / static_cast<double>(holding.stepMicros);
        addEdge(graph, holding.layers.begin, holding.layers.end, std::llround(tokensPerSecond * UnitsPerToken));
    }
    return static_cast<double>(boost::push_relabel_max_flow(graph, 0, layerCount)) / UnitsPerToken;
}

} // namespace crocusmount
