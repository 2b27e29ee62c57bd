#include "shell/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <algorithm>

namespace crocusmount {

namespace json = boost::json;

json::object parseObject(std::string_view text, const json::storage_ptr& memory)
{
    boost::system::error_code error;
    json::value value = json::parse({ text.data(), text.size() }, error, memory);
    return !error && value.is_object() ? json::object(std::move(value.as_object()), memory) : json::object(memory);
}

std::string textOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    std::int64_t number = 0;
    if (value && value->is_string())
        (void)absl::SimpleAtoi(absl::string_view(value->as_string().data(), value->as_string().size()), &number);
    else if (value && value->is_int64())
        number = value->as_int64();
    return number;
}

std::uint64_t countOf(const json::object& object, const char* name)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, numberOf(object, name)));
}

bool flagOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_bool() && value->as_bool();
}

const json::object* objectOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value ? value->if_object() : nullptr;
}

const json::array& listOf(const json::object& object, const char* name)
{
    static const json::array empty;
    const json::value* value = object.if_contains(name);
    return value && value->is_array() ? value->as_array() : empty;
}

std::string fromBase64(const json::object& object, const char* name)
{
    std::string text;
    (void)absl::Base64Unescape(textOf(object, name), &text);
    return text;
}

} // namespace crocusmount
