#include "shell/Settings.h"

#include "shell/SettingsSchema.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <set>
#include <sstream>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// @return OK, or InvalidArgument with one line for each violation of the schema
    absl::Status checkAgainstSchema(const std::string& name, const json::value& document)
    {
        static const json::value schemaDocument = json::parse(settingsSchema);
        valijson::Schema schema;
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::BoostJsonAdapter(schemaDocument), schema);
        valijson::Validator validator(valijson::Validator::kStrongTypes);
        valijson::ValidationResults results;
        if (validator.validate(schema, valijson::adapters::BoostJsonAdapter(document), &results))
            return absl::OkStatus();
        std::string message;
        valijson::ValidationResults::Error error;
        while (results.popError(error)) {
            std::string path;
            for (const std::string& part : error.context)
                path += part;
            absl::StrAppend(&message, message.empty() ? "" : "\n", name, ": ", path, ": ", error.description);
        }
        return absl::InvalidArgumentError(message);
    }

    /// Reads one section of the settings into fields. A field whose key is absent keeps its default.
    class Section {
    public:
        Section(const json::object& root, const char* name)
        {
            if (const json::value* section = root.if_contains(name))
                m_object = section->if_object();
        }

        template <typename T>
        const Section& read(const char* key, T& field) const
        {
            if (const json::value* value = find(key))
                field = json::value_to<T>(*value);
            return *this;
        }

        const Section& readMs(const char* key, Duration& field) const
        {
            if (const json::value* value = find(key))
                field = std::chrono::milliseconds(value->to_number<std::int64_t>());
            return *this;
        }

        const Section& readMs(const char* key, std::chrono::milliseconds& field) const
        {
            if (const json::value* value = find(key))
                field = std::chrono::milliseconds(value->to_number<std::int64_t>());
            return *this;
        }

    private:
        const json::value* find(const char* key) const { return m_object ? m_object->if_contains(key) : nullptr; }

        const json::object* m_object = nullptr;
    };

    /// @return the text of a key, or an empty text if the key is absent
    std::string textOrEmpty(const json::object& object, const char* key)
    {
        const json::value* value = object.if_contains(key);
        return value ? std::string(value->as_string()) : std::string();
    }

    MemberUpdate parseSeed(const json::object& object)
    {
        MemberUpdate seed;
        seed.instance = InstanceId(textOrEmpty(object, "instance"));
        seed.dataCentre = DataCentreId(textOrEmpty(object, "dataCentre"));
        seed.callerAddress = textOrEmpty(object, "callers");
        seed.peerAddress = textOrEmpty(object, "peers");
        return seed;
    }

    void readSections(const json::object& root, Settings& settings)
    {
        ReducerOptions& core = settings.core;
        std::uint64_t memoryMb = 0;
        Section(root, "http")
            .read("headerBytes", settings.http.headerBytes)
            .read("bodyBytes", settings.http.bodyBytes)
            .readMs("readTimeoutMs", settings.http.readTimeout)
            .readMs("writeTimeoutMs", settings.http.writeTimeout)
            .readMs("idleTimeoutMs", settings.http.idleTimeout)
            .read("connections", settings.http.connections)
            .read("memoryMb", memoryMb);
        settings.http.memoryBytes = memoryMb << 20U;
        std::int64_t hopLatencyUs = core.hopLatency.count();
        Section(root, "routing")
            .read("picker", core.picker)
            .read("streamHeadroom", core.streamHeadroom)
            .read("hopLatencyUs", hopLatencyUs)
            .readMs("probeIntervalMs", core.probeInterval)
            .read("unreachableAfter", core.unreachableAfter)
            .readMs("reportLifetimeMs", core.reportLifetime)
            .readMs("recoveryRampMs", core.recoveryRamp)
            .read("watchersPerBackend", core.watchersPerBackend)
            .read("subsetPerGroup", core.subsetPerGroup)
            .readMs("shareIntervalMs", core.shareInterval);
        core.hopLatency = Duration(hopLatencyUs);
        Section(root, "requests")
            .read("queueLimit", core.queueLimit)
            .read("maxAttempts", core.maxAttempts)
            .read("retryRatio", core.retryRatio)
            .read("retryBurst", core.retryBurst)
            .readMs("minStallMs", core.minStall)
            .readMs("firstTokenStallMs", core.firstTokenStall)
            .read("stallFactor", core.stallFactor)
            .readMs("answerMemoryMs", core.answerRetention)
            .read("answerMemoryLimit", core.answerMemoryLimit);
        Section(root, "claims")
            .read("shards", core.claimShards)
            .readMs("timeoutMs", core.claimTimeout)
            .readMs("lingerMs", core.minClaimCallInterval)
            .readMs("retentionMs", core.claimRetention);
        Section(root, "membership")
            .readMs("gossipIntervalMs", core.gossipInterval)
            .readMs("ackTimeoutMs", core.ackTimeout)
            .readMs("suspicionTimeoutMs", core.suspicionTimeout)
            .read("followersPerDataCentre", core.followersPerDataCentre)
            .readMs("isolationLimitMs", core.isolationLimit)
            .readMs("entryLifetimeMs", core.entryLifetime);
        Section(root, "log").read("format", settings.logFormat).read("level", settings.logLevel);
    }

    /// @return OK, or InvalidArgument if two seeds have one instance id
    absl::Status checkSeeds(const std::string& name, const Settings& settings)
    {
        std::set<InstanceId> seen;
        std::size_t index = 0;
        for (const MemberUpdate& seed : settings.seeds) {
            if (!seen.insert(seed.instance).second)
                return absl::InvalidArgumentError(
                    absl::StrCat(name, ": /seeds/", index, "/instance: duplicate id '", seed.instance.value(), "'"));
            ++index;
        }
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<Settings> parseSettings(const std::string& name, const std::string& content)
{
    boost::system::error_code error;
    const json::value document = json::parse(content, error);
    if (error)
        return absl::InvalidArgumentError(absl::StrCat(name, ": not JSON: ", error.message()));
    if (auto status = checkAgainstSchema(name, document); !status.ok())
        return status;
    const json::object& root = document.as_object();
    Settings settings;
    settings.listen = textOrEmpty(root, "listen");
    settings.peerListen = textOrEmpty(root, "peerListen");
    settings.instanceList = textOrEmpty(root, "instanceList");
    for (const json::value& address : root.at("store").as_array())
        settings.store.emplace_back(address.as_string());
    if (const json::value* hashes = root.if_contains("operatorTokenSha256")) {
        for (const json::value& hash : hashes->as_array())
            settings.operatorTokenSha256.emplace_back(hash.as_string());
    }
    if (const json::value* seeds = root.if_contains("seeds")) {
        for (const json::value& seed : seeds->as_array())
            settings.seeds.push_back(parseSeed(seed.as_object()));
    }
    if (auto status = checkSeeds(name, settings); !status.ok())
        return status;
    MemberUpdate& self = settings.core.self;
    self.instance = InstanceId(textOrEmpty(root, "instance"));
    self.dataCentre = DataCentreId(textOrEmpty(root, "dataCentre"));
    self.callerAddress = settings.listen;
    self.peerAddress = settings.peerListen;
    // The start time in Unix milliseconds serves as the incarnation, so that updates of a restarted instance supersede
    // the older ones that peers still hold.
    self.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    readSections(root, settings);
    return settings;
}

absl::StatusOr<Settings> readSettings(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return absl::NotFoundError(absl::StrCat(file, ": cannot be read"));
    std::stringstream content;
    content << stream.rdbuf();
    return parseSettings(file, content.str());
}

} // namespace crocusmount
