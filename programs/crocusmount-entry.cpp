// The entry instance on the platform: the relay with the platform's adapters.

#include "edge/DecisionLog.h"
#include "edge/FrontServer.h"
#include "edge/InstanceRegistry.h"
#include "edge/OperatorEndpoints.h"
#include "edge/PeerLink.h"
#include "edge/PlacementDriver.h"
#include "edge/PlannedStop.h"
#include "edge/PlannerLock.h"
#include "edge/QuarantineStore.h"
#include "edge/RelayMetrics.h"
#include "edge/RelayNode.h"
#include "platform/KvStoreClient.h"
#include "platform/PlatformCallReader.h"
#include "platform/PlatformEndpoints.h"
#include "platform/PlatformEngineControl.h"
#include "platform/PlatformFollower.h"
#include "platform/PlatformSettings.h"
#include "platform/WireNames.h"
#include "programs/CommandLine.h"
#include "shell/ClientConnections.h"
#include "shell/ProcessLimits.h"

#include <cstdlib>
#include <iostream>
#include <random>

namespace {

using namespace crocusmount;
using platform::PlatformSettings;

constexpr const char* SettingsVariable = "CROCUSMOUNT_NODE_FILE";
constexpr const char* DefaultSettingsFile = "/etc/crocusmount/settings.yaml";
/// TCP port that serves the metrics. deploy/system.toml names the same port.
constexpr const char* MetricsPort = "9464";
/// Limit on log lines about individual calls, per second. Lines about the state of the instance do not count.
constexpr std::uint32_t CallLogLinesPerSecond = 200;
/// Time without a first event after which the platform's callers abandon a stream.
constexpr std::chrono::milliseconds StreamPatience { 2000 };
/// Descriptors of a process that the platform reserves for files.
constexpr std::uint32_t FileDescriptors = 200;
/// Share of a leaving backend server's drain time after which its running streams are rerouted. Most streams finish
/// earlier. Rerouting a stream moves its KV cache: half a gigabyte for a prompt of 900 tokens.
constexpr double RerouteDelayShare = 0.5;
/// @return the instance name with a random suffix, which differs at each start
std::string instanceId(const PlatformSettings& settings)
{
    std::random_device random;
    return settings.instanceName + "-" + std::to_string(random()) + std::to_string(random());
}

/// @return the options of the relay that follow from the settings
relay::RelayOptions relayOptions(const PlatformSettings& settings, const relay::DisabledMechanisms& without)
{
    relay::RelayOptions options;
    options.without = without.mergedWith(settings.disabledMechanisms);
    options.dataCentre = DataCentreId(settings.dataCentre);
    options.setRetryLimits(settings.retryRatio, settings.retrySlack,
        Duration(static_cast<std::int64_t>(settings.retryWindowSeconds * 1e6)));
    options.rerouteDelay = Duration(static_cast<std::int64_t>(RerouteDelayShare * settings.drainMs * 1000));
    options.streamPatience = StreamPatience;
    return options;
}

/// @return the memory and the sockets that the process may use
ProcessLimits processLimits(const PlatformSettings& settings)
{
    const std::uint32_t sockets
        = settings.maxDescriptors > FileDescriptors ? settings.maxDescriptors - FileDescriptors : 0;
    return ProcessLimits::ofSystem().loweredTo(settings.memoryMb << 20U, sockets);
}

void logRefusal(ClientRefusal refusal, std::uint64_t count)
{
    relay::DecisionLog::state("client_refused", { { "reason", toString(refusal) }, { "count", count } });
}

/// Owns and connects the components of one entry instance.
class EntryInstance {
public:
    /// @param signals  SIGTERM, SIGINT and SIGHUP; must outlive the instance
    /// @param file     the settings file, which is read again on SIGHUP
    /// @param without  mechanisms that the command line disables
    EntryInstance(net::io_context& context, net::signal_set& signals, const PlatformSettings& settings,
        std::string file, const relay::DisabledMechanisms& without)
        : m_context(context)
        , m_settings(settings)
        , m_settingsFile(std::move(file))
        , m_without(without)
        , m_control(context)
        , m_node(context, relayOptions(settings, without), platform::headerNames(), m_control)
        , m_store(context, settings.storeAddress)
        , m_registry(context, m_store, m_store,
              { instanceId(settings), settings.callerAddress, settings.dataCentre, settings.peerAddress })
        , m_lock(context, m_store, m_store, m_registry)
        , m_quarantine(context, m_store, m_node, m_registry)
        , m_follower(m_node, m_registry, m_lock, m_quarantine)
        , m_mirror(context, m_store, [this](const StoreEvent& event) { m_follower.storeChanged(event); })
        , m_placement(context, m_node, m_lock, m_control)
        , m_endpoints(
              { [this] { return ready(); }, [this] { return callerAddresses(); }, [this] { return metrics(); } })
        , m_operators(m_quarantine, m_endpoints)
        , m_signals(signals)
        , m_clients(std::make_shared<ClientConnections>(processLimits(settings).forClients(), logRefusal))
    {
    }

    /// Opens the listeners and starts the background tasks.
    /// @return an error if an address cannot be listened on
    absl::Status start()
    {
        auto front = relay::FrontServer::make(m_context, m_settings.callerAddress, m_node, m_reader, m_clients);
        if (!front.ok())
            return front.status();
        m_front = *std::move(front);
        const std::pair<std::string, HttpHandler*> listeners[] = { { m_settings.readyAddress, &m_endpoints },
            { m_settings.directoryAddress, &m_endpoints }, { m_settings.ip + ":" + MetricsPort, &m_operators } };
        for (const auto& [address, handler] : listeners) {
            auto server = HttpServer::make(m_context, address, HttpLimits(), *handler, m_clients);
            if (!server.ok())
                return server.status();
            m_servers.push_back(*std::move(server));
        }
        if (!m_settings.peerAddress.empty()) {
            auto link = PeerLink::make(m_context, m_node, m_registry, m_mirror, m_settings.linkMbps);
            if (!link.ok())
                return link.status();
            m_peerLink = *std::move(link);
        }
        if (m_node.reducer().options().without.has(relay::Mechanism::StoreFeed))
            m_mirror.disablePeerFeed();
        m_mirror.start();
        m_registry.start();
        m_lock.start();
        m_placement.start();
        waitForSignal();
        return absl::OkStatus();
    }

private:
    /// @return whether the store has been read, routes are configured and no drain has begun
    bool ready() const { return m_mirror.isComplete() && m_node.reducer().routes() && !m_node.reducer().isDraining(); }

    /// @return the addresses for the directory, none while this instance has no routes or has not heard of the others.
    ///         Without routes it cannot serve calls. It may not know the other instances, or which of them can.
    std::vector<std::string> callerAddresses() const
    {
        const bool knowsOthers = !m_peerLink || m_peerLink->hasCurrentReports();
        return m_node.reducer().routes() && knowsOthers ? m_registry.callerAddresses() : std::vector<std::string>();
    }

    std::string metrics() const
    {
        const auto& reducer = m_node.reducer();
        relay::RelayGauges gauges;
        gauges.openCalls = reducer.openCalls();
        gauges.waitingCalls = reducer.waitingCalls();
        gauges.connections = m_front->connections();
        gauges.requestsCutOff = m_front->requestsCutOff();
        gauges.answersUnwritten = m_front->answersUnwritten();
        gauges.servers = reducer.fleet().servers().size();
        gauges.instances = m_registry.count();
        gauges.isCutOff = reducer.isCutOff();
        gauges.cutOffInstances = m_registry.cutOffCount();
        gauges.directoryAddresses = callerAddresses().size();
        gauges.configurationVersion = reducer.routes() ? reducer.routes()->configuration().version : 0;
        gauges.storeAgeMs = m_mirror.age().count();
        gauges.storeCalls = m_store.calls();
        gauges.logLinesDropped = relay::DecisionLog::dropped();
        gauges.quarantined = reducer.quarantine().quarantinedCount(m_node.now());
        gauges.unknownHeaders = m_node.unknownHeaders().counts();
        for (const auto& [service, budget] : reducer.retryBudgets())
            gauges.retryBudgets[service.value()] = { budget.spent(), budget.tokens(), budget.capacity() };
        gauges.serversInBackoff = reducer.fleet().backoffCount(m_node.now());
        gauges.limitedServers = reducer.fleet().limitedCount();
        gauges.fedByPeer = m_mirror.isFed();
        gauges.unreadableValues = m_follower.unreadable() + m_registry.unreadable() + m_quarantine.unreadable();
        if (m_peerLink) {
            gauges.peerBytesSent = m_peerLink->traffic().sentBytes;
            gauges.peerDatagramsReceived = m_peerLink->traffic().received;
            gauges.peerDatagramsMalformed = m_peerLink->traffic().malformed;
            gauges.misdirectedPermitRequests = m_peerLink->traffic().misdirectedPermitRequests;
            gauges.copiesTaken = m_peerLink->copyTraffic().taken;
            gauges.copiesGiven = m_peerLink->copyTraffic().given;
            gauges.copiesFailed = m_peerLink->copyTraffic().failed;
        }
        gauges.clients = m_clients.get();
        return relay::renderMetrics(reducer.counters(), gauges, m_node.latencies());
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP) {
                reload();
                waitForSignal();
                return;
            }
            net::co_spawn(m_context.get_executor(), drain(), net::detached);
        });
    }

    /// Reads the settings again and applies the mechanisms. All other settings are fixed for the life of the process.
    /// Settings that cannot be read change nothing.
    void reload()
    {
        const auto settings = platform::readPlatformSettings(m_settingsFile);
        if (!settings.ok()) {
            relay::DecisionLog::state(
                "reload", { { "changed", false }, { "error", std::string(settings.status().message()) } });
            return;
        }
        const auto disabled = m_without.mergedWith(settings->disabledMechanisms);
        const bool isChanged = disabled != m_node.reducer().options().without;
        if (isChanged)
            m_node.post(relay::event::MechanismsChanged { disabled });
        relay::DecisionLog::state("reload", { { "changed", isChanged } });
    }

    /// Withdraws this instance, so that callers use other instances, and ends the process once the callers that still
    /// know it are answered.
    Awaitable<void> drain()
    {
        relay::DecisionLog::state("drain", { { "open_calls", m_node.reducer().openCalls() } });
        m_lock.release();
        m_registry.withdraw();
        relay::PlannedStop stop(m_context, m_node, *m_front,
            relay::PlannedStopTimes::within(std::chrono::seconds(m_settings.graceSeconds)));
        co_await stop.run();
        m_context.stop();
    }

    net::io_context& m_context;
    PlatformSettings m_settings;
    std::string m_settingsFile;
    relay::DisabledMechanisms m_without; ///< from the command line
    platform::PlatformEngineControl m_control;
    relay::RelayNode m_node;
    platform::PlatformCallReader m_reader;
    platform::KvStoreClient m_store;
    InstanceRegistry m_registry;
    PlannerLock m_lock;
    QuarantineStore m_quarantine;
    platform::PlatformFollower m_follower;
    StoreMirror m_mirror;
    PlacementDriver m_placement;
    platform::PlatformEndpoints m_endpoints;
    OperatorEndpoints m_operators;
    net::signal_set& m_signals;
    std::shared_ptr<ClientConnections> m_clients;
    std::unique_ptr<relay::FrontServer> m_front;
    std::unique_ptr<PeerLink> m_peerLink;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv, "Usage: crocusmount-entry [options]\n",
        { { "settings", "FILE", "the platform's settings (default: the file that CROCUSMOUNT_NODE_FILE names)" },
            { "without", "NAMES", "comma-separated mechanisms to switch off for a measurement" },
            { "check-config", "", "check the settings and exit" } });
    const char* variable = std::getenv(SettingsVariable);
    const std::string file = arguments.get("settings", variable ? variable : DefaultSettingsFile);
    if (!arguments.words.empty()) {
        std::cerr << "crocusmount-entry: unexpected argument; see --help\n";
        return ExitUsage;
    }
    // Everything except the log runs on this thread, so Asio needs no locks.
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    // A SIGHUP from now on reads the settings again. Its default action would end the process.
    net::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    const auto settings = platform::readPlatformSettings(file);
    if (!settings.ok()) {
        std::cerr << "crocusmount-entry: " << settings.status().message() << "\n";
        return ExitUsage;
    }
    const auto without = relay::DisabledMechanisms::make(arguments.get("without", ""));
    if (!without.ok()) {
        std::cerr << "crocusmount-entry: --without: " << without.status().message() << "\n";
        return ExitUsage;
    }
    if (arguments.has("check-config")) {
        std::cout << file << ": ok\n";
        return ExitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    relay::DecisionLog::setUp(settings->instanceName, CallLogLinesPerSecond);
    EntryInstance instance(context, signals, *settings, file, *without);
    if (const absl::Status status = instance.start(); !status.ok()) {
        std::cerr << "crocusmount-entry: " << status.message() << "\n";
        return ExitFailed;
    }
    relay::DecisionLog::state("start",
        { { "address", settings->callerAddress }, { "data_centre", settings->dataCentre },
            { "store", settings->storeAddress } });
    context.run();
    relay::DecisionLog::shutDown();
    return ExitOk;
}
