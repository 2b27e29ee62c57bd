#include "edge/InstanceRegistry.h"

#include "edge/DecisionLog.h"
#include "relay/LoadReport.h"
#include "shell/Endpoint.h"
#include "shell/Json.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace crocusmount {

namespace {

    constexpr const char* InstancePrefix = "crocusmount/instances/";
    /// Each third of it costs a renewal of every instance, the dearest thing that an idle fleet asks of the store. A
    /// dead instance stays listed so long, but callers are sent there only until its peers miss it (LoadExchange).
    constexpr std::chrono::milliseconds LeaseLifetime { 5000 };
    constexpr std::chrono::milliseconds KeepInterval { 1600 };
    constexpr std::chrono::milliseconds FirstRetryPause { 300 };
    /// While the store is away each try costs a call; entries that lapse then are waited for by all mirrors.
    constexpr std::chrono::milliseconds LongestRetryPause { 1200 };
    constexpr std::size_t LongestIdInLogs = 100;
    constexpr std::uint64_t UnreadableLogStep = 100; ///< one line for so many entries that cannot be read

    std::string idOf(const std::string& key) { return key.substr(std::string_view(InstancePrefix).size()); }

    absl::StatusOr<InstanceRegistry::Entry> entryFrom(const std::string& key, const std::string& text)
    {
        const std::string id = idOf(key);
        const boost::json::object value = parseObject(text);
        InstanceRegistry::Entry entry { id, textOf(value, "address"), textOf(value, "data_centre"),
            textOf(value, "peer_address") };
        const bool hasPeerAddress = entry.peerAddress.empty() || parseEndpoint<Udp>(entry.peerAddress).ok();
        if (id.empty() || entry.dataCentre.empty() || !hasPeerAddress || !parseEndpoint<Tcp>(entry.address).ok())
            return absl::InvalidArgumentError("instance " + id.substr(0, LongestIdInLogs) + ": not an entry");
        return entry;
    }

} // namespace

InstanceRegistry::InstanceRegistry(net::io_context& context, StoreClient& store, LeaseClient& leases, Entry self)
    : m_context(context)
    , m_store(store)
    , m_leases(leases)
    , m_self(std::move(self))
    , m_key(InstancePrefix + m_self.id)
{
}

void InstanceRegistry::start() { net::co_spawn(m_context.get_executor(), keepLoop(), net::detached); }

void InstanceRegistry::withdraw()
{
    if (std::exchange(m_withdrawn, true))
        return;
    net::co_spawn(m_context.get_executor(), leave(), net::detached);
}

void InstanceRegistry::storeChanged(const StoreEvent& event)
{
    if (absl::StartsWith(event.entry.key, InstancePrefix))
        takeInstance(event);
}

void InstanceRegistry::takeInstance(const StoreEvent& event)
{
    const std::string& key = event.entry.key;
    if (key == m_key) {
        m_listed = !event.deleted;
        return;
    }
    if (event.deleted) {
        m_others.erase(key);
        m_leaving.erase(relay::instanceKey(InstanceId(idOf(key))));
    } else {
        auto entry = entryFrom(key, event.entry.value);
        if (!entry.ok()) {
            // Any client of the store may have written it. It names no instance, also where it replaces one that did.
            m_others.erase(key);
            if (++m_unreadable % UnreadableLogStep == 1)
                relay::DecisionLog::state("instance_unreadable",
                    { { "error", std::string(entry.status().message()) }, { "unreadable", m_unreadable } });
            return;
        }
        if (entry->address == m_self.address)
            return; // This instance's own, from before its restart.
        // A restarted instance takes the place of the one before, whose lease may have a while to run.
        std::erase_if(m_others, [&](const auto& other) { return other.second.address == entry->address; });
        m_others[key] = *std::move(entry);
    }
    const std::string id = idOf(key);
    event.deleted ? m_digest.removed(id, event.entry.modRevision) : m_digest.added(id, event.entry.modRevision);
    m_digest.write(count(), std::chrono::steady_clock::now());
}

void InstanceRegistry::setSilent(std::set<std::uint64_t> silent)
{
    if (silent == m_silent)
        return;
    m_silent = std::move(silent);
    relay::DecisionLog::state("instances_silent", { { "silent", m_silent.size() }, { "instances", count() } });
}

void InstanceRegistry::noteLeaving(std::uint64_t key)
{
    if (m_leaving.insert(key).second)
        relay::DecisionLog::state("instance_leaving", { { "leaving", m_leaving.size() }, { "instances", count() } });
}

std::vector<std::string> InstanceRegistry::callerAddresses() const
{
    std::vector<std::string> all;
    std::vector<std::string> heard;
    if (!m_withdrawn) {
        all.push_back(m_self.address);
        heard.push_back(m_self.address);
    }
    for (const auto& [key, entry] : m_others) {
        const std::uint64_t instance = relay::instanceKey(InstanceId(entry.id));
        if (m_leaving.count(instance))
            continue;
        all.push_back(entry.address);
        if (!m_silent.count(instance))
            heard.push_back(entry.address);
    }
    return heard.size() * 2 > all.size() ? heard : all;
}

std::vector<InstanceRegistry::Entry> InstanceRegistry::others() const
{
    std::vector<Entry> entries;
    entries.reserve(m_others.size());
    for (const auto& [key, entry] : m_others)
        entries.push_back(entry);
    return entries;
}

bool InstanceRegistry::isSilent(const Entry& entry) const
{
    const std::uint64_t instance = relay::instanceKey(InstanceId(entry.id));
    return m_silent.count(instance) || m_leaving.count(instance);
}

std::uint32_t InstanceRegistry::count() const { return static_cast<std::uint32_t>(m_others.size()) + 1; }

bool InstanceRegistry::isListed(const std::string& id) const
{
    return (id == m_self.id && m_listed) || m_others.count(InstancePrefix + id);
}

std::size_t InstanceRegistry::rank() const
{
    return static_cast<std::size_t>(std::distance(m_others.begin(), m_others.lower_bound(m_key)));
}

std::size_t InstanceRegistry::rankInDataCentre() const
{
    return static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.lower_bound(m_key),
        [&](const auto& other) { return other.second.dataCentre == m_self.dataCentre; }));
}

Awaitable<void> InstanceRegistry::keepLoop()
{
    Timer timer(m_context.get_executor());
    std::chrono::milliseconds retryPause = FirstRetryPause;
    while (!m_withdrawn) {
        const bool kept = co_await keep();
        m_digest.write(count(), std::chrono::steady_clock::now());
        timer.expires_after(kept ? KeepInterval : retryPause);
        retryPause = kept ? FirstRetryPause : std::min(retryPause * 2, LongestRetryPause);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
}

Awaitable<bool> InstanceRegistry::keep()
{
    if (!m_lease.id) {
        const auto lease = co_await m_leases.grantLease(LeaseLifetime);
        if (!lease.ok())
            co_return false;
        m_lease = *lease;
        m_listed = false;
    } else {
        const absl::Status status = co_await m_leases.keepLease(m_lease.id);
        if (absl::IsNotFound(status)) {
            relay::DecisionLog::state("lease_ended", { { "lease", m_lease.id } });
            m_lease = {};
            co_return co_await keep();
        }
        if (!status.ok())
            co_return false;
    }
    // Not one expression: g++ 12 awaits the right side of || also where the left is true.
    if (m_listed)
        co_return true;
    co_return co_await registerSelf();
}

Awaitable<bool> InstanceRegistry::registerSelf()
{
    const boost::json::object value { { "address", m_self.address }, { "data_centre", m_self.dataCentre },
        { "peer_address", m_self.peerAddress } };
    StoreWrite write;
    write.puts.emplace_back(m_key, boost::json::serialize(value));
    write.lease = m_lease.id;
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    // Where the answer is lost, the mirror shows whether it took effect; until then it is written again.
    m_listed = m_listed || result.outcome == WriteOutcome::Committed;
    co_return m_listed;
}

Awaitable<void> InstanceRegistry::leave()
{
    const std::int64_t lease = m_lease.id;
    if (!lease)
        co_return;
    const absl::Status status = co_await m_leases.endLease(lease);
    relay::DecisionLog::state("withdrawn", { { "lease", lease }, { "store", status.ToString() } });
}

} // namespace crocusmount
