#include "core/requests/account_directory.h"
#include "core/requests/key_digest.h"

#include <string>

namespace siskinstage {

Result<std::shared_ptr<const AccountDirectory>>
AccountDirectory::create(std::vector<AccountRecord> Accounts) {
  // The constructor is private, which std::make_shared can't call.
  const std::shared_ptr<AccountDirectory> Made(new AccountDirectory());
  Made->Accounts = std::move(Accounts);
  std::size_t KeyCount = 0;
  for (const AccountRecord &Account : Made->Accounts)
    KeyCount += Account.KeyDigests.size();
  Made->ByDigest.reserve(KeyCount);
  for (std::size_t I = 0; I < Made->Accounts.size(); ++I) {
    const std::vector<KeyDigest> &Digests = Made->Accounts[I].KeyDigests;
    for (std::size_t J = 0; J < Digests.size(); ++J)
      if (!Made->ByDigest.try_emplace(Digests[J], static_cast<std::uint32_t>(I))
               .second)
        return fail(Step::Records,
                    "accounts[" + std::to_string(I) + "].key_digests[" +
                        std::to_string(J) + "]",
                    "the key is held twice");
  }
  return Made;
}

const AccountRecord *AccountDirectory::find(std::string_view Key) const {
  return this->find(digestOfKey(Key));
}

const AccountRecord *AccountDirectory::find(const KeyDigest &Digest) const {
  const auto Found = this->ByDigest.find(Digest);
  return Found == this->ByDigest.end() ? nullptr
                                       : &this->Accounts[Found->second];
}

} // namespace siskinstage
