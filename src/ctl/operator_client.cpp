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
                                     const std::string &Target) {
  const auto Answer = getOnNewConnection(Options.Node, Target, MaxPageBytes,
                                         bootNow() + Options.Timeout);
  if (!Answer) {
    std::cerr << Answer.error().text() << '\n';
    return std::nullopt;
  }
  Json::Value Page;
  if (Answer->Head.getStatus() == 200 &&
      Json::Reader().parse(Answer->Body, Page))
    return Page;
  std::cerr << "node " << Options.Node.str() << " answered "
            << Answer->Head.getStatus() << ": " << Answer->Body << '\n';
  return std::nullopt;
}

} // namespace siskinstage::ctl
