#include "request_target.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace mimosabend {

namespace {

constexpr auto kKeptChars = boost::urls::unreserved_chars + '/';

}  // namespace

std::string EncodeForTarget(std::string_view text) {
  return boost::urls::encode({text.data(), text.size()}, kKeptChars);
}

std::string MakeTarget(std::string_view path, const std::vector<QueryParameter>& parameters) {
  std::string target(path);
  char separator = '?';
  for (const QueryParameter& parameter : parameters) {
    target += separator;
    target += parameter.name;
    target += '=';
    target += EncodeForTarget(parameter.value);
    separator = '&';
  }
  return target;
}

}  // namespace mimosabend
