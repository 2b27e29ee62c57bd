// Measures the processor time to choose a chain for a call, with and without predicted times, on one processor. Run it
// as crocusmount-placing-bench and read the time of an iteration.

#include "relay/CallPlacer.h"
#include "tests/MixedFleet.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

namespace {

using namespace crocusmount;
using namespace crocusmount::relay;

/// A placer with a number of engines, which hold layers as those of MixedFleet do and run some streams of usual size.
class LoadedPlacer {
public:
    LoadedPlacer(std::size_t engines, const char* without)
        : m_placer(m_options, m_fleet)
    {
        m_options.dataCentre = DataCentreId("a");
        m_options.without = *DisabledMechanisms::make(without);
        const std::vector<RegisteredServer> models = MixedFleet::engines();
        EngineLoads loads;
        for (std::size_t i = 0; i < engines; ++i) {
            RegisteredServer server = models[i % models.size()];
            server.id = BackendId(absl::StrCat("i-", 1000000 + i * 7919 % 900000));
            server.address = absl::StrCat("10.1.", i / 200, ".", i % 200, ":8080");
            m_fleet.upsert(server, m_now);
            EngineLoad load = m_fleet.find(server.id)->othersLoad;
            load.tokenLayers = static_cast<double>(i % 90) * 983 * server.layers.size();
            load.calls = static_cast<double>(i % 90);
            loads[load.engine] = load;
        }
        m_fleet.setOthersLoad(loads, m_now);
        m_placer.setInstances(88);
        m_call.id = RequestId(1);
        m_call.routes = RouteTable::make(MixedFleet::configuration());
        m_call.route = &m_call.routes->configuration().routes.front();
        m_call.service = ServiceId("model");
        m_call.spec.promptTokens = 774;
        m_call.tokens = 983;
        m_call.arrived = m_now;
    }

    std::optional<Placement> place() { return m_placer.place(m_call, m_now, m_entropy += 0x9e3779b97f4a7c15ULL); }

private:
    TimePoint m_now = timePoint(1000000);
    RelayOptions m_options;
    ServerFleet m_fleet;
    CallPlacer m_placer;
    Call m_call;
    std::uint64_t m_entropy = 0;
};

void benchPlacing(benchmark::State& state, const char* without)
{
    LoadedPlacer placer(static_cast<std::size_t>(state.range(0)), without);
    if (!placer.place())
        state.SkipWithError("no chain");
    for (auto _ : state)
        benchmark::DoNotOptimize(placer.place());
}
BENCHMARK_CAPTURE(benchPlacing, predicted, "")->Arg(96)->Arg(820);
BENCHMARK_CAPTURE(benchPlacing, without, "predicted-times")->Arg(96)->Arg(820);

} // namespace

BENCHMARK_MAIN();
