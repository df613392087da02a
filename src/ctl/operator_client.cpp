#include "ctl/operator_client.h"
#include "net/boot_time.h"
#include "net/http_client.h"

#include <iostream>
#include <json/reader.h>

namespace siskinstage::ctl {

namespace {

constexpr std::size_t MaxPageBytes = 256U * 1024 * 1024;

} // namespace

std::optional<Json::Value> fetchPage(const CtlOptions &Options,
                                     const std::string &RequestTarget) {
  const auto Response = getOnNewConnection(
      Options.Node, RequestTarget, MaxPageBytes, bootNow() + Options.Timeout);
  if (!Response) {
    std::cerr << Response.error().text() << '\n';
    return std::nullopt;
  }
  Json::Value Page;
  if (Response->Head.getStatus() == 200 &&
      Json::Reader().parse(Response->Body, Page))
    return Page;
  std::cerr << "node " << Options.Node.str() << " responded with status "
            << Response->Head.getStatus() << ": " << Response->Body << '\n';
  return std::nullopt;
}

} // namespace siskinstage::ctl
