#include "LibCore/field_table.h"

#include <cmath>
#include <sstream>

namespace kcm::core {

auto FormatBound(double bound) -> std::string {
  std::ostringstream text;
  text.precision(15);
  text << bound;
  return text.str();
}

namespace detail {

auto StoreValue(const Json& value, std::string& target) -> bool {
  if (!value.is_string()) {
    return false;
  }
  target = value.get<std::string>();
  return true;
}

auto StoreValue(const Json& value, std::int64_t& target) -> bool {
  if (!value.is_number_integer()) {
    return false;
  }
  target = value.get<std::int64_t>();
  return true;
}

auto StoreValue(const Json& value, double& target) -> bool {
  if (!value.is_number()) {
    return false;
  }
  target = value.get<double>();
  return std::isfinite(target);
}

auto StoreValue(const Json& value, bool& target) -> bool {
  if (!value.is_boolean()) {
    return false;
  }
  target = value.get<bool>();
  return true;
}

auto StoreValue(const Json& value, Address& target) -> bool {
  if (!value.is_string()) {
    return false;
  }
  Reason unused;
  const auto address = ParseAddress(value.get<std::string>(), "", unused);
  target = address.value_or(Address{});
  return address.has_value();
}

auto TypeNameOf(const std::string& /*value*/) -> std::string_view {
  return "a text";
}

auto TypeNameOf(const std::int64_t& /*value*/) -> std::string_view {
  return "a whole number";
}

auto TypeNameOf(const double& /*value*/) -> std::string_view {
  return "a number";
}

auto TypeNameOf(const bool& /*value*/) -> std::string_view {
  return "true or false";
}

auto TypeNameOf(const Address& /*value*/) -> std::string_view {
  return "IP:PORT with a port from 1 to 65535";
}

auto SizeOf(const Address& value) -> double {
  return value.port;
}

auto SizeOf(const std::string& value) -> double {
  return static_cast<double>(value.size());
}

auto SizeOf(const std::int64_t& value) -> double {
  return static_cast<double>(value);
}

auto SizeOf(const double& value) -> double {
  return value;
}

auto SizeOf(const bool& value) -> double {
  return value ? 1 : 0;
}

}  // namespace detail

}  // namespace kcm::core
