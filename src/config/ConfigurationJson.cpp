#include "config/ConfigurationJson.h"

#include "core/DescribeValues.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    /// @param key     key of the configured object
    /// @param detail  path of the invalid member, and the expected value
    absl::Status invalidObject(const std::string& key, const std::string& detail)
    {
        return absl::InvalidArgumentError(absl::StrCat(key, ": ", detail));
    }

    /// Parses an object. Members that are missing in the text keep their default values; unknown members are errors.
    template <typename T>
    absl::StatusOr<T> parseOverDefaults(const T& defaults, const std::string& key, const std::string& text)
    {
        boost::system::error_code error;
        const json::value document = json::parse(text, error);
        if (error || !document.is_object())
            return invalidObject(key, error ? "not JSON: " + error.message() : "expected an object");
        json::object merged = json::value_from(defaults).as_object();
        for (const auto& [name, value] : document.as_object()) {
            if (!merged.contains(name))
                return invalidObject(key, absl::StrCat("/", std::string(name), ": unknown key"));
            json::object candidate = merged;
            candidate[name] = value;
            if (json::try_value_to<T>(json::value(candidate)).has_error())
                return invalidObject(
                    key, absl::StrCat("/", std::string(name), ": wrong type or value ", json::serialize(value)));
            merged = std::move(candidate);
        }
        return json::value_to<T>(json::value(std::move(merged)));
    }

    /// @return OK, or InvalidArgument that names the first member whose value is not allowed
    absl::Status validate(const std::string& key, const Workspace& workspace)
    {
        if (!workspace.weight || workspace.weight > 1000)
            return invalidObject(key, "/weight: expected 1 to 1000");
        for (const std::string& hash : workspace.tokenSha256) {
            if (hash.size() != 64 || hash.find_first_not_of("0123456789abcdef") != std::string::npos)
                return invalidObject(key, "/tokenSha256: expected 64 lower-case hex digits each");
        }
        return absl::OkStatus();
    }

    /// @return OK, or InvalidArgument that names the first member whose value is not allowed
    absl::Status validate(const std::string& key, const Pipeline& pipeline)
    {
        if (pipeline.model.empty())
            return invalidObject(key, "/model: expected a name");
        if (!pipeline.layers || pipeline.layers > 10000)
            return invalidObject(key, "/layers: expected 1 to 10000");
        if (pipeline.deadlineMs < 1 || pipeline.deadlineMs > 3600000)
            return invalidObject(key, "/deadlineMs: expected 1 to 3600000");
        if (!pipeline.maxTokens || pipeline.maxTokens > 1000000)
            return invalidObject(key, "/maxTokens: expected 1 to 1000000");
        return absl::OkStatus();
    }

    /// @return OK, or InvalidArgument that names the first member whose value is not allowed
    absl::Status validate(const std::string& key, const BackendServer& server)
    {
        const auto colon = server.address.rfind(':');
        unsigned port = 0;
        if (colon == std::string::npos || !absl::SimpleAtoi(server.address.substr(colon + 1), &port) || !port
            || port > 65535)
            return invalidObject(key, "/address: expected \"ip:port\"");
        if (server.dataCentre.value().empty())
            return invalidObject(key, "/dataCentre: expected a name");
        if (!server.slots)
            return invalidObject(key, "/slots: expected at least 1");
        return absl::OkStatus();
    }

    /// Parses an object and checks its values.
    template <typename T, typename Id>
    absl::StatusOr<T> parseObject(const Id& id, const std::string& key, const std::string& text)
    {
        T defaults;
        defaults.id = id;
        auto object = parseOverDefaults(defaults, key, text);
        if (!object.ok())
            return object;
        if (object->id != id)
            return invalidObject(key, "/id: differs from the key");
        if (auto status = validate(key, *object); !status.ok())
            return status;
        return object;
    }

    /// Adds an object to the objects of its kind or replaces it; removes it if the value of the entry is empty.
    template <typename T, typename Id>
    absl::Status applyObject(std::map<Id, T>& objects, const std::string& id, const ConfigurationEntry& entry)
    {
        if (entry.value.empty()) {
            objects.erase(Id(id));
            return absl::OkStatus();
        }
        auto object = parseObject<T>(Id(id), entry.key, entry.value);
        if (!object.ok())
            return object.status();
        objects.insert_or_assign(Id(id), *std::move(object));
        return absl::OkStatus();
    }

} // namespace

absl::Status applyEntry(const ConfigurationEntry& entry, Configuration& configuration)
{
    const auto slash = entry.key.find('/');
    const std::string kind = entry.key.substr(0, slash);
    const std::string id = slash == std::string::npos ? "" : entry.key.substr(slash + 1);
    if (id.empty() || id.find_first_of("/ ,:@\n") != std::string::npos)
        return invalidObject(entry.key, "expected KIND/ID with an id free of '/', ',', ':', '@' and blanks");
    if (kind == "workspaces")
        return applyObject(configuration.workspaces, id, entry);
    if (kind == "pipelines")
        return applyObject(configuration.pipelines, id, entry);
    if (kind == "backends")
        return applyObject(configuration.backends, id, entry);
    return invalidObject(entry.key, "unknown kind; expected workspaces, pipelines or backends");
}

std::string toJson(const Workspace& workspace) { return json::serialize(json::value_from(workspace)); }

std::string toJson(const Pipeline& pipeline) { return json::serialize(json::value_from(pipeline)); }

std::string toJson(const BackendServer& server) { return json::serialize(json::value_from(server)); }

absl::StatusOr<ConfigurationEntry> validatedEntry(const std::string& key, const std::string& text)
{
    ConfigurationEntry entry { key, text, Revision() };
    Configuration parsed;
    if (auto status = applyEntry(entry, parsed); !status.ok())
        return status;
    for (const auto& [id, workspace] : parsed.workspaces)
        entry.value = toJson(workspace);
    for (const auto& [id, pipeline] : parsed.pipelines)
        entry.value = toJson(pipeline);
    for (const auto& [id, server] : parsed.backends)
        entry.value = toJson(server);
    return entry;
}

} // namespace crocusmount
