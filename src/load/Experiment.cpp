#include "load/Experiment.h"

#include <absl/strings/str_cat.h>
#include <boost/describe.hpp>
#include <boost/json.hpp>

namespace crocusmount {

namespace json = boost::json;

BOOST_DESCRIBE_STRUCT(Experiment::Caller, (), (id, token, share))
BOOST_DESCRIBE_STRUCT(Experiment::Kind, (), (pipeline, share, leastTokens, mostTokens, stream, once, deadlineMs))
BOOST_DESCRIBE_STRUCT(Experiment::Fault, (), (atMs, address, body))

namespace {

    /// Reads a member of an object into a field. If the member is missing, the field keeps its default.
    template <typename T>
    absl::Status read(const json::object& object, const char* key, T& field)
    {
        const json::value* value = object.if_contains(key);
        if (!value)
            return absl::OkStatus();
        auto result = json::try_value_to<T>(*value);
        if (result.has_error())
            return absl::InvalidArgumentError(absl::StrCat("/", key, ": wrong type or value"));
        field = *std::move(result);
        return absl::OkStatus();
    }

    /// Appends the objects of a JSON list. Missing members keep the defaults of the type. A member that is itself an
    /// object is stored as JSON text.
    template <typename T>
    absl::Status readList(const json::object& object, const char* key, std::vector<T>& list)
    {
        const json::value* value = object.if_contains(key);
        if (!value || !value->is_array())
            return value ? absl::InvalidArgumentError(absl::StrCat("/", key, ": expected a list")) : absl::OkStatus();
        for (const json::value& item : value->as_array()) {
            json::object merged = json::value_from(T()).as_object();
            if (!item.is_object())
                return absl::InvalidArgumentError(absl::StrCat("/", key, "/", list.size(), ": expected an object"));
            for (const auto& [name, member] : item.as_object()) {
                if (!merged.contains(name))
                    return absl::InvalidArgumentError(
                        absl::StrCat("/", key, "/", list.size(), "/", std::string(name), ": unknown key"));
                merged[name] = member.is_object() ? json::value(json::serialize(member)) : member;
            }
            auto result = json::try_value_to<T>(json::value(std::move(merged)));
            if (result.has_error())
                return absl::InvalidArgumentError(absl::StrCat("/", key, "/", list.size(), ": wrong type or value"));
            list.push_back(*std::move(result));
        }
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<Experiment> parseExperiment(const std::string& name, const std::string& text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error || !document.is_object())
        return absl::InvalidArgumentError(name + ": expected a JSON object");
    const json::object& root = document.as_object();
    Experiment experiment;
    absl::Status status;
    status.Update(read(root, "name", experiment.name));
    status.Update(read(root, "seed", experiment.seed));
    status.Update(read(root, "seconds", experiment.seconds));
    status.Update(read(root, "requestsPerSecond", experiment.requestsPerSecond));
    status.Update(read(root, "entries", experiment.entries));
    status.Update(read(root, "ledgers", experiment.ledgers));
    status.Update(read(root, "tries", experiment.tries));
    status.Update(readList(root, "workspaces", experiment.workspaces));
    status.Update(readList(root, "mix", experiment.mix));
    status.Update(readList(root, "faults", experiment.faults));
    if (status.ok() && (experiment.entries.empty() || experiment.workspaces.empty() || experiment.mix.empty()))
        status = absl::InvalidArgumentError("expected entries, workspaces and mix, none of them empty");
    if (status.ok() && (experiment.requestsPerSecond <= 0 || experiment.seconds <= 0 || !experiment.tries))
        status = absl::InvalidArgumentError("expected requestsPerSecond, seconds and tries above 0");
    for (const Experiment::Kind& kind : experiment.mix) {
        if (status.ok() && (!kind.leastTokens || kind.mostTokens < kind.leastTokens))
            status = absl::InvalidArgumentError("/mix: expected 1 <= leastTokens <= mostTokens");
    }
    if (!status.ok())
        return absl::InvalidArgumentError(absl::StrCat(name, ": ", status.message()));
    return experiment;
}

} // namespace crocusmount
