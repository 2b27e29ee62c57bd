#pragma once

#include "crocusmount/Configuration.h"
#include "crocusmount/StrongId.h"

#include <boost/describe.hpp>
#include <boost/json.hpp>

/// JSON conversion of identifiers and of the configuration. Include this only in files that read or write JSON.
namespace crocusmount {

/// Writes an identifier as its underlying value.
template <typename Tag, typename Rep>
void tag_invoke(boost::json::value_from_tag, boost::json::value& json, const StrongId<Tag, Rep>& id)
{
    json = boost::json::value_from(id.value());
}

/// Reads an identifier from its underlying value.
template <typename Tag, typename Rep>
StrongId<Tag, Rep> tag_invoke(boost::json::value_to_tag<StrongId<Tag, Rep>>, const boost::json::value& json)
{
    return StrongId<Tag, Rep>(boost::json::value_to<Rep>(json));
}

BOOST_DESCRIBE_ENUM(PipelineKind, Generation, Lookup, Service)
BOOST_DESCRIBE_STRUCT(Workspace, (), (id, labels, weight, tokenSha256))
BOOST_DESCRIBE_STRUCT(Pipeline, (), (id, kind, model, layers, selector, workspaceSelector, deadlineMs, maxTokens))
BOOST_DESCRIBE_STRUCT(
    BackendServer, (), (id, address, dataCentre, accelerator, service, slots, labels, fenced, leaving))

} // namespace crocusmount
