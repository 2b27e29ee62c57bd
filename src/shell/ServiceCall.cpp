#include "shell/ServiceCall.h"

#include <boost/describe.hpp>
#include <boost/json.hpp>

namespace crocusmount {

BOOST_DESCRIBE_STRUCT(ServiceCall, (), (method, target, contentType, body))
BOOST_DESCRIBE_STRUCT(ServiceAnswer, (), (status, contentType, body, isEndProven))

namespace {

    /// Parses JSON whose strings may be invalid UTF-8, because a body may hold any bytes.
    boost::json::value parseAnyBytes(const std::string& text)
    {
        boost::json::parse_options options;
        options.allow_invalid_utf8 = true;
        return boost::json::parse(text, {}, options);
    }

} // namespace

std::string toJson(const ServiceCall& call) { return boost::json::serialize(boost::json::value_from(call)); }

std::string toJson(const ServiceAnswer& answer) { return boost::json::serialize(boost::json::value_from(answer)); }

ServiceCall serviceCallFromJson(const std::string& text)
{
    return boost::json::value_to<ServiceCall>(parseAnyBytes(text));
}

ServiceAnswer serviceAnswerFromJson(const std::string& text)
{
    return boost::json::value_to<ServiceAnswer>(parseAnyBytes(text));
}

} // namespace crocusmount
