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
    /// Every instance renews its lease about three times in its lifetime. These renewals are the highest load that an
    /// idle fleet puts on the store. A dead instance stays listed until its lease expires, but callers are sent there
    /// only until its peers report it silent (see LoadExchange).
    constexpr std::chrono::milliseconds LeaseLifetime { 5000 };
    constexpr std::chrono::milliseconds LeaseRenewalInterval { 1600 };
    constexpr std::chrono::milliseconds MinRetryPause { 300 };
    /// Each retry costs a call while the store is unreachable. After an outage each StoreMirror defers deletions, so
    /// that instances whose leases expired have time to write their entries again.
    constexpr std::chrono::milliseconds MaxRetryPause { 1200 };
    constexpr std::size_t MaxLoggedIdLength = 100;
    constexpr std::uint64_t UnreadableEntriesPerLogLine = 100;

    std::string idOf(const std::string& key) { return key.substr(std::string_view(InstancePrefix).size()); }

    absl::StatusOr<InstanceRegistry::Entry> entryFrom(const std::string& key, const std::string& text)
    {
        const std::string id = idOf(key);
        const boost::json::object value = parseObject(text);
        InstanceRegistry::Entry entry { id, textOf(value, "address"), textOf(value, "data_centre"),
            textOf(value, "peer_address") };
        const bool hasPeerAddress = entry.peerAddress.empty() || isReachableEndpoint<Udp>(entry.peerAddress);
        if (id.empty() || entry.dataCentre.empty() || !hasPeerAddress || !isReachableEndpoint<Tcp>(entry.address))
            return absl::InvalidArgumentError(
                "instance " + id.substr(0, MaxLoggedIdLength) + ": the entry lacks a field or has an invalid address");
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

void InstanceRegistry::start() { net::co_spawn(m_context.get_executor(), leaseLoop(), net::detached); }

void InstanceRegistry::withdraw()
{
    if (std::exchange(m_isWithdrawn, true))
        return;
    net::co_spawn(m_context.get_executor(), revokeLease(), net::detached);
}

void InstanceRegistry::storeChanged(const StoreEvent& event)
{
    if (absl::StartsWith(event.entry.key, InstancePrefix))
        applyInstanceChange(event);
}

void InstanceRegistry::applyInstanceChange(const StoreEvent& event)
{
    const std::string& key = event.entry.key;
    if (key == m_key) {
        m_isListed = !event.deleted;
        return;
    }
    if (event.deleted) {
        removeEntry(key);
        m_leavingInstances.erase(relay::instanceKey(InstanceId(idOf(key))));
    } else {
        auto entry = entryFrom(key, event.entry.value);
        if (!entry.ok()) {
            // Any client of the store can write such an entry. The instance whose entry it replaces is no
            // longer listed.
            removeEntry(key);
            if (++m_unreadableCount % UnreadableEntriesPerLogLine == 1)
                relay::DecisionLog::state("instance_unreadable",
                    { { "error", std::string(entry.status().message()) }, { "unreadable", m_unreadableCount } });
            return;
        }
        if (entry->address == m_self.address)
            return; // The entry is from before a restart of this instance.
        removeEntry(key);
        m_entries[key] = { *std::move(entry), event.entry.modRevision };
        listLatest(m_entries[key].entry.address);
    }
    const std::string id = idOf(key);
    event.deleted ? m_changeLog.removed(id, event.entry.modRevision) : m_changeLog.added(id, event.entry.modRevision);
    m_changeLog.write(count(), std::chrono::steady_clock::now());
}

/// Forgets an entry. An earlier one at its address is listed again, as its process may be the one that runs: a write of
/// an ended process can be carried out late.
void InstanceRegistry::removeEntry(const std::string& key)
{
    const auto removed = m_entries.extract(key);
    m_others.erase(key);
    if (removed)
        listLatest(removed.mapped().entry.address);
}

/// Lists the entry that was written last of those at an address. An instance that restarted leaves entries whose leases
/// have not expired, and a full read returns them in any order.
void InstanceRegistry::listLatest(const std::string& address)
{
    const std::pair<const std::string, StoredEntry>* latest = nullptr;
    for (const auto& each : m_entries) {
        if (each.second.entry.address != address)
            continue;
        m_others.erase(each.first);
        if (!latest || each.second.revision > latest->second.revision)
            latest = &each;
    }
    if (latest)
        m_others[latest->first] = latest->second.entry;
}

void InstanceRegistry::setSilentInstances(std::set<std::uint64_t> silent)
{
    if (silent == m_silentInstances)
        return;
    m_silentInstances = std::move(silent);
    relay::DecisionLog::state("instances_silent", { { "silent", m_silentInstances.size() }, { "instances", count() } });
}

void InstanceRegistry::setCutOffInstances(std::set<std::uint64_t> cutOff)
{
    if (cutOff == m_cutOffInstances)
        return;
    m_cutOffInstances = std::move(cutOff);
    relay::DecisionLog::state("instances_cut_off",
        { { "cut_off", m_cutOffInstances.size() }, { "instances", count() },
            { "directory_addresses", callerAddresses().size() } });
}

void InstanceRegistry::noteLeaving(std::uint64_t key)
{
    if (m_leavingInstances.insert(key).second)
        relay::DecisionLog::state(
            "instance_leaving", { { "leaving", m_leavingInstances.size() }, { "instances", count() } });
}

std::vector<std::string> InstanceRegistry::callerAddresses() const
{
    std::vector<const Entry*> all;
    if (!m_isWithdrawn)
        all.push_back(&m_self);
    for (const auto& [key, entry] : m_others) {
        if (!m_leavingInstances.count(relay::instanceKey(InstanceId(entry.id))))
            all.push_back(&entry);
    }
    const auto without = [](const std::vector<const Entry*>& entries, const std::set<std::uint64_t>& excluded) {
        std::vector<const Entry*> rest;
        std::copy_if(entries.begin(), entries.end(), std::back_inserter(rest),
            [&](const Entry* entry) { return !excluded.count(relay::instanceKey(InstanceId(entry->id))); });
        return rest;
    };
    std::set<std::uint64_t> silentOthers = m_silentInstances;
    silentOthers.erase(relay::instanceKey(InstanceId(m_self.id)));
    const auto responsive = without(all, silentOthers);
    const auto& reachable = responsive.size() * 2 > all.size() ? responsive : all;
    const auto connected = without(reachable, m_cutOffInstances);
    std::vector<std::string> addresses;
    for (const Entry* entry : connected.empty() ? reachable : connected)
        addresses.push_back(entry->address);
    return addresses;
}

std::vector<InstanceRegistry::Entry> InstanceRegistry::others() const
{
    std::vector<Entry> entries;
    entries.reserve(m_others.size());
    for (const auto& [key, entry] : m_others)
        entries.push_back(entry);
    return entries;
}

bool InstanceRegistry::isSilentOrLeaving(const Entry& entry) const
{
    const std::uint64_t instance = relay::instanceKey(InstanceId(entry.id));
    return m_silentInstances.count(instance) || m_leavingInstances.count(instance);
}

std::uint32_t InstanceRegistry::count() const { return static_cast<std::uint32_t>(m_others.size()) + 1; }

bool InstanceRegistry::isListed(const std::string& id) const
{
    return (id == m_self.id && m_isListed) || m_others.count(InstancePrefix + id);
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

Awaitable<void> InstanceRegistry::leaseLoop()
{
    Timer timer(m_context.get_executor());
    std::chrono::milliseconds retryPause = MinRetryPause;
    while (!m_isWithdrawn) {
        const bool isRegistered = co_await maintainRegistration();
        m_changeLog.write(count(), std::chrono::steady_clock::now());
        timer.expires_after(isRegistered ? LeaseRenewalInterval : retryPause);
        retryPause = isRegistered ? MinRetryPause : std::min(retryPause * 2, MaxRetryPause);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
}

/// Acquires or renews the lease, and writes this instance's entry if the store does not hold it.
/// @return whether the instance is registered
Awaitable<bool> InstanceRegistry::maintainRegistration()
{
    if (!m_lease.id) {
        const auto lease = co_await m_leases.grantLease(LeaseLifetime);
        if (!lease.ok())
            co_return false;
        m_lease = *lease;
        m_isListed = false;
    } else {
        const absl::Status status = co_await m_leases.keepLease(m_lease.id);
        if (absl::IsNotFound(status)) {
            relay::DecisionLog::state("lease_ended", { { "lease", m_lease.id } });
            m_lease = {};
            co_return co_await maintainRegistration();
        }
        if (!status.ok())
            co_return false;
    }
    // Not a single `||` expression: g++ 12 awaits its right side even if the left one is true.
    if (m_isListed)
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
    // If the answer was lost, the mirror shows whether the write took effect. Until then the write is retried.
    m_isListed = m_isListed || result.outcome == WriteOutcome::Committed;
    co_return m_isListed;
}

Awaitable<void> InstanceRegistry::revokeLease()
{
    const std::int64_t lease = m_lease.id;
    if (!lease)
        co_return;
    const absl::Status status = co_await m_leases.endLease(lease);
    relay::DecisionLog::state("withdrawn", { { "lease", lease }, { "store", status.ToString() } });
}

} // namespace crocusmount
