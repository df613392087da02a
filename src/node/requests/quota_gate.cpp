#include "node/requests/quota_gate.h"
#include "net/boot_time.h"
#include "node/operators/log.h"

#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

QuotaAccount idOf(const AccountName &Account) {
  return XXH3_64bits(Account.str().data(), Account.str().size());
}

} // namespace

QuotaGate::QuotaGate(const Address &Self, Incarnation Process)
    : Quotas(Self, Process, bootNow()) {}

AccountQuota::Decision QuotaGate::admit(const AccountName &Account,
                                        const QuotaLimits &Limits,
                                        const FleetRecord &Fleet) {
  const QuotaLimits Total = limitsWithHeadroom(
      Limits, {Fleet.QuotaWindow, Fleet.QuotaOverage, Fleet.QuotaSlack});
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Quotas.admit(idOf(Account), Total, bootNow());
}

void QuotaGate::giveBack(const AccountName &Account) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Quotas.giveBack(idOf(Account));
}

void QuotaGate::setEntries(const std::vector<Address> &Entries, bool Complete) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Quotas.shares().setEntries(Entries, Complete, bootNow());
}

void QuotaGate::setListed(std::set<Address> Live) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Quotas.shares().setListed(std::move(Live));
}

std::vector<OutgoingQuota> QuotaGate::tick() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  auto Out = this->Quotas.tick(bootNow());
  this->logChange();
  return Out;
}

std::vector<OutgoingQuota> QuotaGate::receive(const Address &From,
                                              Incarnation Process,
                                              const QuotaMessage &Message) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Quotas.receive(From, Process, Message, bootNow());
}

FleetQuota::Stats QuotaGate::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Quotas.stats();
}

FleetQuota::AccountView QuotaGate::view(const AccountName &Account) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Quotas.view(idOf(Account), bootNow());
}

void QuotaGate::logChange() {
  const FleetQuota::Stats Now = this->Quotas.stats();
  if (Now.Claim != this->Logged.Claim)
    logEvent(LogLevel::Info, "claim on the quotas of accounts changed",
             {{"millionths", std::to_string(Now.Claim)},
              {"claimants", std::to_string(Now.Claimants)}});
  if (Now.Full > 0 && this->Logged.Full == 0)
    logEvent(LogLevel::Warn, "the table of account quotas is full",
             {{"accounts", std::to_string(Now.Accounts)}});
  this->Logged = Now;
}

} // namespace siskinstage
