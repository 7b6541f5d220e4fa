"""Prove knowledge of the fleet's shared secret over a challenge."""

import hmac
from random import Random

# Bytes of a nonce.
NONCE_BYTES = 16


def make_nonce(random: Random) -> bytes:
    """Return a fresh nonce."""
    return random.randbytes(NONCE_BYTES)


def make_proof(secret: bytes, nonce: bytes, prover_id: str, verifier_id: str) -> bytes:
    """Return the proof that binds a secret to both peers and the nonce."""
    # Both names are bound in, so that a proof cannot be reflected to its verifier.
    text = b"\x00".join((nonce, prover_id.encode(), verifier_id.encode()))
    return hmac.digest(secret, text, "sha256")


def proof_matches(
    proof: bytes, secret: bytes, nonce: bytes, prover_id: str, verifier_id: str
) -> bool:
    """Tell whether a proof was made with the secret."""
    expected = make_proof(secret, nonce, prover_id, verifier_id)
    return hmac.compare_digest(proof, expected)
