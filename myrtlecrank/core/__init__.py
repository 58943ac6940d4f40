"""The actor of the decision module, and what the other actors share with it. Knows no frame and no socket."""
