#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

/// Lenient reading of JSON from other processes: a member that is missing or has another type reads as empty, zero or
/// false.
namespace crocusmount {

/// @param memory  allocates the object; by default the heap
/// @return the parsed object; empty if the text is not a JSON object
boost::json::object parseObject(std::string_view text, const boost::json::storage_ptr& memory = {});

/// @return the value of a member that is a string
std::string textOf(const boost::json::object&, const char* name);

/// @return the value of a member that is an integer, or a string that holds an integer, as the etcd v3 API writes it
std::int64_t numberOf(const boost::json::object&, const char* name);

/// @return numberOf(), or zero if it is negative
std::uint64_t countOf(const boost::json::object&, const char* name);

/// @return the value of a member that is a boolean
bool flagOf(const boost::json::object&, const char* name);

/// @return a member that is an object, otherwise null
const boost::json::object* objectOf(const boost::json::object&, const char* name);

/// @return a member that is an array, otherwise an empty array
const boost::json::array& listOf(const boost::json::object&, const char* name);

/// @return the decoded bytes of a member that is a base64 string
std::string fromBase64(const boost::json::object&, const char* name);

} // namespace crocusmount
